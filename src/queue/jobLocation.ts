/**
 * Where the waiting tasks of a job are queued: the class and team of its caller, or a team of their own.
 */
import type { CallerGroup } from './types.js';

/** Suffix of the team id of offloaded tasks; the daemon of their job counts their quota. */
const offloadedSuffix = ' (passed)';

/** The class and team under which the waiting tasks of a job are queued. */
export interface JobLocation extends CallerGroup {
  readonly callerId: string;
  readonly isOffloaded: boolean;
}

/** @returns class and team under which a task is queued; offloaded tasks form their own team */
export const groupFor = (
  { callerClass, teamId }: CallerGroup,
  isOffloaded: boolean,
): CallerGroup => ({
  callerClass,
  teamId: isOffloaded ? `${teamId}${offloadedSuffix}` : teamId,
});
