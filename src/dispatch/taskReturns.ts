/**
 * Returns tasks to their requesters.
 */
import type { BatchedTask } from './openBatch.js';
import { toStatedLosses } from './taskLosses.js';

/** Returns a task that is not running to its requester, which may send it to another dispatcher. */
export const returnTask = (task: BatchedTask, reason: string): void => {
  const { index, nextRun, failedRuns, losses } = task;
  const returned = { index, nextRun, failedRuns, ...toStatedLosses(losses) };
  task.batch.end(task, { kind: 'returned', task: returned, reason });
};
