/**
 * Estimates how long a new job waits: the slot-time of the work that runs before it, divided by the
 * slots.
 */
import { unreachable } from '../errors/unreachable.js';
import type { CallerClass, Operation } from '../types/inventory.js';
import type { TaskQueue } from '../queue/taskQueue.js';
import type { CallerGroup } from '../queue/types.js';

/** A job that is not admitted yet. */
export interface NewJob {
  /** Class and team of its caller. */
  readonly callerGroup: CallerGroup;
  /** The operation of each task. */
  readonly operations: readonly Operation[];
}

/** The expected times of a job. */
export interface ExpectedTimes {
  /** Time until it starts. */
  readonly waitMs: number;
  /**
   * Time from its start to its end, at least. Operations without an observed run time count as 0,
   * since declared run times are often far off.
   */
  readonly runMs: number;
}

/**
 * Estimates the times of a job. The cost of the estimate grows with the number of operations, not
 * with the number of waiting tasks.
 *
 * @param queue - the waiting work
 * @param spareSlots - free slots of other daemons, to which tasks can be offloaded
 * @param job - the job
 * @returns the times; the wait is 0 where there are no slots at all
 */
export const estimateTimes = (queue: TaskQueue, spareSlots: number, job: NewJob): ExpectedTimes => {
  const slots = countSlots(queue, spareSlots);
  const observedMs = job.operations
    .filter((operation) => queue.runTimes.isObserved(operation))
    .map((operation) => queue.runTimes.typicalMs(operation));
  const workMs = observedMs.reduce((sumMs, taskMs) => sumMs + taskMs, 0);
  const runMs = Math.max(...observedMs, slots === 0 ? 0 : workMs / slots);
  return { waitMs: slots === 0 ? 0 : estimateWaitMs(queue, spareSlots, job), runMs };
};

/**
 * Estimates the time until all paying work that waits now has run.
 *
 * @param queue - the waiting work
 * @param spareSlots - free slots of other daemons, to which tasks can be offloaded
 * @returns milliseconds; 0 where there are no slots at all
 */
export const estimatePayingWaitMs = (queue: TaskQueue, spareSlots: number): number => {
  const slots = countSlots(queue, spareSlots);
  return slots === 0 ? 0 : waitingSlotTimeMs(queue, 'paying') / slots;
};

/** Counts the slots of this daemon and the free slots of others. */
const countSlots = (queue: TaskQueue, spareSlots: number): number =>
  queue.trialCap.totalSlots + spareSlots;

/**
 * Estimates the wait of a job: the longest of the wait for any slot and, for each of its
 * operations, the wait for the slots that fit it, which may be few.
 */
const estimateWaitMs = (queue: TaskQueue, spareSlots: number, job: NewJob): number => {
  const aheadMs = classWorkAheadMs(queue, job);
  const slots = countSlots(queue, spareSlots);
  const operationWaitsMs = [...new Set(job.operations)].map((operation) => {
    const fittingSlots = queue.trialCap.slotsFor(operation);
    const { callerClass } = job.callerGroup;
    const operationAheadMs = operationWorkAheadMs(queue, callerClass, operation, aheadMs);
    return fittingSlots === 0 ? 0 : operationAheadMs / (fittingSlots + spareSlots);
  });
  return Math.max(
    ...operationWaitsMs,
    estimateAnySlotWaitMs(queue, slots, spareSlots, job, aheadMs),
  );
};

/**
 * Estimates the wait for any slot. Trial work also waits for all paying work, and for the slots
 * under the trial cap.
 *
 * @param aheadMs - slot-time of the job's own class that runs before it
 */
const estimateAnySlotWaitMs = (
  queue: TaskQueue,
  slots: number,
  spareSlots: number,
  { callerGroup }: NewJob,
  aheadMs: number,
): number => {
  switch (callerGroup.callerClass) {
    case 'paying':
      return aheadMs / slots;
    case 'trial': {
      const afterPayingMs = (waitingSlotTimeMs(queue, 'paying') + aheadMs) / slots;
      return Math.max(afterPayingMs, aheadMs / (queue.trialCap.trialSlots + spareSlots));
    }
    default:
      return unreachable(callerGroup.callerClass);
  }
};

/**
 * Estimates the slot-time of one operation that runs before a new job.
 *
 * @param aheadMs - slot-time of all operations of the job's class that runs before it
 */
const operationWorkAheadMs = (
  queue: TaskQueue,
  callerClass: CallerClass,
  { operationId }: Operation,
  aheadMs: number,
): number => {
  const sameClassMs = Math.min(aheadMs, waitingSlotTimeMs(queue, callerClass, operationId));
  switch (callerClass) {
    case 'paying':
      return sameClassMs;
    case 'trial':
      return sameClassMs + waitingSlotTimeMs(queue, 'paying', operationId);
    default:
      return unreachable(callerClass);
  }
};

/**
 * Estimates the slot-time of the job's own class that runs before it. For its own team, that is at
 * most as much per waiting job as the new job has itself, since the job with the least work goes
 * first. For each other team, it is at most what the own team gets until the job has run, since
 * teams share the slots evenly.
 */
const classWorkAheadMs = (queue: TaskQueue, { callerGroup, operations }: NewJob): number => {
  const { runTimes } = queue;
  const jobMs = operations.reduce((sumMs, one) => sumMs + runTimes.typicalMs(one), 0);
  const waiting = queue.classQueueOf(callerGroup.callerClass);
  const team = waiting.team(callerGroup.teamId);
  const teamMs = team?.waiting.estimateSlotTimeMs((one) => runTimes.typicalMs(one)) ?? 0;
  const ownMs = Math.min(teamMs, (team?.waitingJobs ?? 0) * jobMs);
  const otherTeams = waiting.waitingTeams - (teamMs > 0 ? 1 : 0);
  const othersMs = waitingSlotTimeMs(queue, callerGroup.callerClass) - teamMs;
  return ownMs + Math.min(othersMs, otherTeams * (ownMs + jobMs));
};

/**
 * Sums up the slot-time that the waiting tasks of a class are expected to take.
 *
 * @param operationId - counts only tasks of this operation
 */
const waitingSlotTimeMs = (
  queue: TaskQueue,
  callerClass: CallerClass,
  operationId?: string,
): number =>
  queue
    .classQueueOf(callerClass)
    .waiting.estimateSlotTimeMs((operation) => queue.runTimes.typicalMs(operation), operationId);
