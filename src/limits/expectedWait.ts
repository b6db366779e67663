/**
 * How long a new job is expected to wait: the slot-time that goes before it, over the slots.
 */
import { unreachable } from '../errors/unreachable.js';
import type { CallerClass, Operation } from '../types/inventory.js';
import type { TaskQueue } from '../queue/taskQueue.js';
import type { Standing } from '../queue/types.js';

/** A job that asks to be taken. */
export interface JobDemand {
  readonly standing: Standing;
  /** The operation of each task. */
  readonly operations: readonly Operation[];
}

/** When a job is expected to start and how long it then takes; both in milliseconds. */
export interface ExpectedTimes {
  readonly waitMs: number;
  /** Counts only what was observed, since declared run times are often far off. */
  readonly runMs: number;
}

/**
 * Estimates the times of a job. The cost grows with the operations, not with the waiting tasks.
 *
 * @param queue - the waiting work
 * @param spareSlots - free slots of other daemons that may take work over
 * @param demand - the job
 */
export const expectTimes = (
  queue: TaskQueue,
  spareSlots: number,
  demand: JobDemand,
): ExpectedTimes => {
  const slots = slotsWith(queue, spareSlots);
  const observedMs = demand.operations
    .filter((operation) => queue.runTimes.isObserved(operation))
    .map((operation) => queue.runTimes.typicalMs(operation));
  const workMs = observedMs.reduce((sumMs, taskMs) => sumMs + taskMs, 0);
  const runMs = Math.max(...observedMs, slots === 0 ? 0 : workMs / slots);
  return { waitMs: slots === 0 ? 0 : expectWaitMs(queue, spareSlots, demand), runMs };
};

/**
 * Estimates the wait of paying work as a whole, in milliseconds.
 *
 * @param queue - the waiting work
 * @param spareSlots - free slots of other daemons that may take work over
 */
export const expectPayingWaitMs = (queue: TaskQueue, spareSlots: number): number => {
  const slots = slotsWith(queue, spareSlots);
  return slots === 0 ? 0 : waitingMs(queue, 'paying') / slots;
};

const slotsWith = (queue: TaskQueue, spareSlots: number): number =>
  queue.trialCap.totalSlots + spareSlots;

/** Wait for any slot, and for the slots of each operation, which may be few. */
const expectWaitMs = (queue: TaskQueue, spareSlots: number, demand: JobDemand): number => {
  const aheadMs = fairAheadMs(queue, demand);
  const slots = slotsWith(queue, spareSlots);
  const ofOperations = [...new Set(demand.operations)].map((operation) => {
    const fitting = queue.trialCap.slotsOf(operation);
    const { callerClass } = demand.standing;
    const beforeMs = operationAheadMs(queue, callerClass, operation, aheadMs);
    return fitting === 0 ? 0 : beforeMs / (fitting + spareSlots);
  });
  return Math.max(...ofOperations, anySlotWaitMs(queue, slots, spareSlots, demand, aheadMs));
};

const anySlotWaitMs = (
  queue: TaskQueue,
  slots: number,
  spareSlots: number,
  { standing }: JobDemand,
  aheadMs: number,
): number => {
  switch (standing.callerClass) {
    case 'paying':
      return aheadMs / slots;
    case 'trial': {
      const afterPayingMs = (waitingMs(queue, 'paying') + aheadMs) / slots;
      return Math.max(afterPayingMs, aheadMs / (queue.trialCap.trialSlots + spareSlots));
    }
    default:
      return unreachable(standing.callerClass);
  }
};

/** Slot-time of one operation that goes before a new job. */
const operationAheadMs = (
  queue: TaskQueue,
  callerClass: CallerClass,
  { operationId }: Operation,
  aheadMs: number,
): number => {
  const sameClassMs = Math.min(aheadMs, waitingMs(queue, callerClass, operationId));
  switch (callerClass) {
    case 'paying':
      return sameClassMs;
    case 'trial':
      return sameClassMs + waitingMs(queue, 'paying', operationId);
    default:
      return unreachable(callerClass);
  }
};

/**
 * Slot-time of one class that goes before a new job: of its own team the jobs with less work, of
 * each other team at most as much as its own team gets until then.
 */
const fairAheadMs = (queue: TaskQueue, { standing, operations }: JobDemand): number => {
  const { runTimes } = queue;
  const jobMs = operations.reduce((sumMs, one) => sumMs + runTimes.typicalMs(one), 0);
  const waiting = queue.waitingOf(standing.callerClass);
  const team = waiting.team(standing.teamId);
  const teamMs = team?.waiting.slotTimeMs((one) => runTimes.typicalMs(one)) ?? 0;
  const ownMs = Math.min(teamMs, (team?.waitingJobs ?? 0) * jobMs);
  const otherTeams = waiting.waitingTeams - (teamMs > 0 ? 1 : 0);
  const othersMs = waitingMs(queue, standing.callerClass) - teamMs;
  return ownMs + Math.min(othersMs, otherTeams * (ownMs + jobMs));
};

const waitingMs = (queue: TaskQueue, callerClass: CallerClass, operationId?: string): number =>
  queue
    .waitingOf(callerClass)
    .waiting.slotTimeMs((operation) => queue.runTimes.typicalMs(operation), operationId);
