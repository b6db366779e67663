/**
 * Runs an operation with a timeout.
 */
import type { Clock } from '../ports/clock.js';
import { abortQuietly } from './abortQuietly.js';

/**
 * Runs an operation with a timeout. The operation's signal is aborted at the end in any case.
 *
 * @param clock - measures the timeout
 * @param durationMs - the timeout in milliseconds
 * @param run - the operation
 * @returns the operation's result, or `undefined` if the timeout expired first
 */
export const withTimeout = async <T>(
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
