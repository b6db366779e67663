/**
 * Keeps workers free for suspects, the tasks under which a worker was lost: a suspect runs alone, so that
 * a further crash costs no other task.
 */
import type { ManagedWorker } from './managedWorker.js';
import type { BatchedTask } from './openBatch.js';
import { hasLosses } from './taskLosses.js';

/** Largest share of the workers that is kept free at the same time; one worker at least. */
const maxReservedShare = 1 / 3;

/** Whether a worker was silent or crashed while it ran the task. */
export const isSuspect = ({ losses }: BatchedTask): boolean => hasLosses(losses);

/**
 * Finds the worker that is kept free for a suspect, and keeps one free if there is none: the one that is
 * expected to be empty first.
 *
 * @param task - the suspect
 * @param workers - all workers of this daemon
 * @param isEligible - whether a worker may run the task
 * @returns the worker, which may still have runs; undefined while enough others are kept free
 */
export const reserveWorker = (
  task: BatchedTask,
  workers: readonly ManagedWorker[],
  isEligible: (worker: ManagedWorker) => boolean,
): ManagedWorker | undefined => {
  const reserved = workers.find((worker) => worker.reservation.task === task);
  const canTake = (worker: ManagedWorker): boolean => worker.isAvailable && isEligible(worker);
  if (reserved !== undefined && canTake(reserved)) {
    return reserved;
  }
  reserved?.reservation.cancel();
  const reservedCount = workers.filter(({ reservation }) => reservation.task !== undefined).length;
  if (reservedCount >= Math.max(Math.floor(workers.length * maxReservedShare), 1)) {
    return undefined;
  }
  const [first] = workers
    .filter((worker) => worker.reservation.task === undefined && canTake(worker))
    .sort((a, b) => emptyInMs(a) - emptyInMs(b));
  first?.reservation.reserve(task);
  return first;
};

/** Expected time until a worker has no run, in milliseconds. */
const emptyInMs = (worker: ManagedWorker): number =>
  Math.max(0, ...worker.releases().map(({ inMs }) => inMs));
