/**
 * Rejects jobs that no listed worker is large enough for.
 */
import { unreachable } from '../errors/unreachable.js';
import type { JobEnd, JobRequest } from '../ports/jobs.js';
import type { Route } from '../types/routing.js';
import type { TaskFit, WorkerDirectory } from '../workers/workerDirectory.js';

/** Time after which a job may be sent again that needs more than shrunk workers have, in milliseconds. */
const shrunkRetryAfterMs = 2_000;
/**
 * Time after which a job may be sent again that no listed worker is large enough for, in milliseconds. A worker
 * that restarts is listed again within seconds; most others are not back soon.
 */
const unlistedRetryAfterMs = 5_000;
/** The end of a job that is rejected at once: no task of it has failed, and nothing shows that none can run later. */
export type Rejection = Extract<JobEnd, { kind: 'refused' }>;

/**
 * @returns how a job ends of which some step fits on no listed worker, however much of it is free: by the step
 *   that may have to wait longest
 */
export const rejectionForSize = (
  directory: Pick<WorkerDirectory, 'fitOf'>,
  { serviceId }: Route,
  { steps }: JobRequest,
): Rejection | undefined => {
  const rejections = steps.flatMap(({ needs: { resources, requiredLabel } }) => {
    const rejection = toRejection(directory.fitOf(serviceId, resources, requiredLabel));
    return rejection === undefined ? [] : [rejection];
  });
  return rejections.sort((a, b) => b.retryAfterMs - a.retryAfterMs)[0];
};

/** @returns how a job is rejected of which a task has this fit, or nothing if its plan decides */
const toRejection = (fit: TaskFit): Rejection | undefined => {
  switch (fit) {
    case 'fits':
    case 'unknown':
      return undefined;
    case 'shrunk':
      return {
        kind: 'refused',
        reason: 'no worker of the service is large enough now',
        retryAfterMs: shrunkRetryAfterMs,
      };
    case 'unlisted':
      return {
        kind: 'refused',
        reason: 'no worker that is listed now has the label and the size for it',
        retryAfterMs: unlistedRetryAfterMs,
      };
    default:
      return unreachable(fit);
  }
};
