/**
 * Estimates how long a task waits for one of the slots that are busy now.
 */

/** Least time after which a busy slot may be expected to end, as a share of its run time. */
const minResidualShare = 0.1;

/** Sums over busy slots. */
export interface BusySlots {
  readonly slots: number;
  /** Sum of the times at which they are expected to end, in milliseconds. */
  readonly endSumMs: number;
  /** Sum of the expected run times, in milliseconds. */
  readonly runSumMs: number;
}

/**
 * Estimates the wait of the last of several waiting tasks.
 *
 * The ends are taken as evenly spread around their mean, none later than a whole run time from now:
 * slots that began together end together, others end one after the other.
 *
 * @param busy - the busy slots
 * @param waitingTasks - how many tasks wait, the last one included
 * @param nowMs - the time
 * @returns milliseconds
 */
export const estimateWaitMs = (busy: BusySlots, waitingTasks: number, nowMs: number): number => {
  const runTimeMs = busy.runSumMs / busy.slots;
  const meanMs = Math.max(busy.endSumMs / busy.slots - nowMs, runTimeMs * minResidualShare);
  const firstMs = Math.max(0, 2 * meanMs - runTimeMs);
  const spreadMs = 2 * (meanMs - firstMs);
  const inFirstRound = Math.min(waitingTasks, busy.slots);
  const laterRounds = (waitingTasks - inFirstRound) / busy.slots;
  return firstMs + (spreadMs * inFirstRound) / (busy.slots + 1) + runTimeMs * laterRounds;
};
