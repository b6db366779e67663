/**
 * Time limits of batches, which are relative to when a batch is sent, since daemons share no clock.
 */
import type { Batch } from '../types/dispatch.js';

/**
 * Shortens the time limits of a batch.
 *
 * @param batch - the batch
 * @param passedMs - time that has passed since the limits were computed, in milliseconds
 * @param longestPassedMs - time that has passed at most, where it is not known exactly
 */
export const shortenTimeLimits = (
  batch: Batch,
  passedMs: number,
  longestPassedMs = passedMs,
): Batch => ({
  ...batch,
  objectiveInMs: batch.objectiveInMs - passedMs,
  giveUpInMs: batch.giveUpInMs - passedMs,
  expiresInMs: batch.expiresInMs - passedMs,
  ...(batch.runsEndInMs === undefined ? {} : { runsEndInMs: batch.runsEndInMs - longestPassedMs }),
});
