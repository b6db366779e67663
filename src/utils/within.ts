/**
 * Bounds an operation by a time.
 */
import type { Clock } from '../ports/clock.js';
import { abortQuietly } from './abortQuietly.js';

/**
 * Runs an operation for a time at most; its signal is aborted when the time is up.
 *
 * @param clock - the clock
 * @param durationMs - the bound in milliseconds
 * @param run - the operation
 * @returns what it gave, or nothing when the time was up first
 */
export const within = async <T>(
  clock: Clock,
  durationMs: number,
  run: (signal: AbortSignal) => Promise<T>,
): Promise<T | undefined> => {
  const operation = new AbortController();
  const timer = new AbortController();
  const timeUp = clock.sleep(durationMs, timer.signal).then(() => undefined);
  try {
    return await Promise.race([run(operation.signal), timeUp]);
  } finally {
    abortQuietly(timer);
    abortQuietly(operation);
  }
};
