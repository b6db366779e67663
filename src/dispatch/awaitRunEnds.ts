/**
 * Waits for the end of all runs of a worker that gets no more of them.
 */
import type { Clock } from '../ports/clock.js';
import type { RunTable } from './runTable.js';

/** Pause between checks whether runs are left, in milliseconds. */
export const checkPauseMs = 60;
/** Longest time for which only starts in doubt hold the end up, in milliseconds: longer than callers wait for a job. */
const maxDoubtMs = 20_000;

/**
 * Waits until no run is left, or only starts in doubt that the worker has not answered for a long time.
 *
 * @param runs - the runs of the worker
 * @param isPending - whether the end is still waited for
 */
export const awaitRunEnds = async (
  clock: Clock,
  runs: RunTable,
  isPending: () => boolean,
): Promise<void> => {
  const doubtEndsAtMs = clock.nowMs() + maxDoubtMs;
  const mayEnd = (): boolean => !runs.hasLeasedRuns && clock.nowMs() >= doubtEndsAtMs;
  while (runs.size > 0 && isPending() && !mayEnd()) {
    await clock.sleep(checkPauseMs);
  }
};
