/**
 * Chooses the worker of this daemon on which a waiting task starts now.
 */
import type { Random } from '../ports/random.js';
import { mayBackfill } from '../scheduling/startReservation.js';
import type { StartReservation } from '../scheduling/startReservation.js';
import type { BatchedTask } from './openBatch.js';
import { isSuspect } from './suspectIsolation.js';
import { chooseWorker, expectedRunMs } from './workerChoice.js';
import type { RatedCandidate, TaskDemand } from './workerChoice.js';
import type { WorkerPool } from './workerPool.js';
import type { LocalCandidate } from './workerViews.js';

export interface LocalChoiceContext {
  readonly workers: Pick<WorkerPool, 'candidatesFor' | 'isolatedCandidateFor'>;
  readonly random: Random;
  readonly farRackFactor: number;
  readonly nowMs: number;
}

/**
 * @param reservation - the worker that is kept for a task further ahead, if there is one
 * @returns the chosen worker, or nothing if none has room for the task
 */
export const chooseLocally = (
  task: BatchedTask,
  demand: TaskDemand,
  reservation: StartReservation | undefined,
  { workers, random, farRackFactor, nowMs }: LocalChoiceContext,
): RatedCandidate<LocalCandidate> | undefined => {
  const candidates = isSuspect(task)
    ? workers.isolatedCandidateFor(task)
    : workers.candidatesFor(task);
  const isAllowed = (one: LocalCandidate): boolean =>
    reservation === undefined ||
    mayBackfill(reservation, one.workerId, nowMs + expectedRunMs(demand, one, farRackFactor));
  return chooseWorker(demand, candidates.filter(isAllowed), {
    nowMs,
    farRackFactor,
    random: () => random.next(),
  });
};
