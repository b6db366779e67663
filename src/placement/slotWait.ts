/**
 * Estimates how long a task waits until one of the busy slots is free.
 */

/** Smallest expected residual time of a busy slot, as a share of its run time. */
const minResidualShare = 0.1;

/** Number of busy slots, and sums over them. */
export interface BusySlots {
  readonly slots: number;
  /** Sum of the monotonic times at which they are expected to be free, in milliseconds. */
  readonly endSumMs: number;
  /** Sum of the expected run times, in milliseconds. */
  readonly runSumMs: number;
}

/**
 * Estimates how long the last of several waiting tasks waits for a slot.
 *
 * The ends of the running tasks are modelled as evenly spread around their mean, none later than
 * one run time from now: slots that started together end together, others end one after the other.
 * Tasks beyond the number of slots wait one more mean run time for each further round.
 *
 * @param busy - the busy slots; at least one
 * @param waitingTasks - number of waiting tasks, the last one included
 * @param nowMs - monotonic time of this process, in milliseconds
 * @returns the wait, in milliseconds
 */
export const estimateWaitMs = (busy: BusySlots, waitingTasks: number, nowMs: number): number => {
  const runTimeMs = busy.runSumMs / busy.slots;
  const meanResidualMs = Math.max(busy.endSumMs / busy.slots - nowMs, runTimeMs * minResidualShare);
  const firstEndMs = Math.max(0, 2 * meanResidualMs - runTimeMs);
  const spreadMs = 2 * (meanResidualMs - firstEndMs);
  const tasksInFirstRound = Math.min(waitingTasks, busy.slots);
  const laterRounds = (waitingTasks - tasksInFirstRound) / busy.slots;
  return firstEndMs + (spreadMs * tasksInFirstRound) / (busy.slots + 1) + runTimeMs * laterRounds;
};
