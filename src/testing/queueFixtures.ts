/**
 * Operations and waiting tasks for tests of the queue.
 */
import type { CallerClass, Operation } from '../types/inventory.js';
import type { TaskOutcome } from '../types/jobs.js';
import type { PendingTask } from '../queue/types.js';
import { createDeferred } from '../utils/deferred.js';

export interface WaitingTaskFixtureOptions {
  readonly jobId: string;
  readonly teamId?: string;
  readonly callerClass?: CallerClass;
  readonly operation: Operation;
  /** Number of the task in its job; also its input. */
  readonly index?: number;
}

/** Creates a `once` operation with a declared run time. */
export const createQueueOperation = (
  operationId: string,
  declaredRunTimeMs: number,
): Operation => ({
  operationId,
  kind: 'once',
  declaredRunTimeMs,
  maxInputBytes: 65_536,
  cores: 1,
  memoryMb: 1,
  accelerators: 0,
});

/** Creates a queued task that has not been attempted. */
export const createWaitingTask = ({
  jobId,
  teamId = 'members',
  callerClass = 'paying',
  operation,
  index = 0,
}: WaitingTaskFixtureOptions): PendingTask => ({
  task: {
    taskId: `${jobId}-${index}`,
    jobId,
    callerId: `${teamId}-caller`,
    teamId,
    callerClass,
    operation,
    input: index,
    deadlineAtMs: 60_000,
  },
  outcome: createDeferred<TaskOutcome>(),
  attempts: 0,
});
