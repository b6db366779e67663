/**
 * Sleeps of loops that run periodically. Loops whose periods are multiples of each other wake together,
 * which costs a process less than many separate wake-ups.
 */
import type { Clock } from '../ports/clock.js';

/** A remainder of the period below this share of it is skipped, since timers fire early or late. */
const minShare = 0.25;

/**
 * Sleeps until the next multiple of a period on this process's monotonic clock.
 *
 * @param clock - clock and timers
 * @param periodMs - the period in milliseconds
 * @param signal - ends the sleep early
 */
export const sleepUntilNextPeriod = (
  clock: Clock,
  periodMs: number,
  signal?: AbortSignal,
): Promise<void> => clock.sleep(untilNextMultiple(clock.nowMs(), periodMs), signal);

/** Longest sleep until the next multiple of a period, in milliseconds, unless this process is held up. */
export const longestPauseMs = (periodMs: number): number => (1 + minShare) * periodMs;

/**
 * Sleeps until the next check of what other processes have sent. A check that comes late, since this process was
 * held up, waits until the sockets were read once: overdue timers come before the messages that wait there.
 *
 * @param clock - clock and timers
 * @param periodMs - the period in milliseconds
 * @param signal - ends the sleep early
 */
export const sleepUntilNextCheck = async (
  clock: Clock,
  periodMs: number,
  signal?: AbortSignal,
): Promise<void> => {
  const sleptAtMs = clock.nowMs();
  await sleepUntilNextPeriod(clock, periodMs, signal);
  if (clock.nowMs() - sleptAtMs > longestPauseMs(periodMs)) {
    await clock.nextTurn();
  }
};

/**
 * Sleeps until the next multiple of a period on the wall clock, at which other processes with the same
 * period wake, too. A jump of the clock moves the wake-ups, but does not delay one.
 *
 * @param clock - clock and timers
 * @param periodMs - the period in milliseconds
 * @param signal - ends the sleep early
 */
export const sleepUntilSharedPeriod = (
  clock: Clock,
  periodMs: number,
  signal?: AbortSignal,
): Promise<void> => clock.sleep(untilNextMultiple(clock.wallMs(), periodMs), signal);

const untilNextMultiple = (timeMs: number, periodMs: number): number => {
  const remainingMs = periodMs - (timeMs % periodMs);
  return remainingMs < periodMs * minShare ? remainingMs + periodMs : remainingMs;
};
