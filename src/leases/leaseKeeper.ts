/**
 * Keeps the lease of a running task: the first one covers the time left to the deadline where the
 * platform allows that much; a longer run is renewed.
 */
import type { Endpoint } from '../types/inventory.js';
import type { Clock } from '../ports/clock.js';
import type { EndpointPort, TaskStart } from '../ports/endpoints.js';

/** Longest lease that the platform gives. */
export const maxLeaseMs = 30_000;
/** Time for which a whole answer is still taken after a lapse. */
const lapseGraceMs = 500;

export interface LeaseKeeperOptions {
  readonly clock: Clock;
  readonly endpoints: EndpointPort;
}

/**
 * Tells the length of the first lease.
 *
 * @param timeLeftMs - time left to the deadline, in milliseconds
 */
export const firstLeaseMs = (timeLeftMs: number): number => Math.min(timeLeftMs, maxLeaseMs);

/**
 * Renews a lease at a third of its length until the task ends or the deadline is covered.
 *
 * @param options - clock and endpoints
 * @param endpoint - where the task runs
 * @param start - the attempt, with its first lease
 * @param deadlineAtMs - when no more renewal is needed
 * @param signal - ends the renewals when the task has ended
 * @returns when the lease has lapsed and no answer came soon after; otherwise when signalled
 */
export const keepLease = async (
  { clock, endpoints }: LeaseKeeperOptions,
  endpoint: Endpoint,
  start: TaskStart,
  deadlineAtMs: number,
  signal: AbortSignal,
): Promise<'lapsed' | 'ended'> => {
  const isEnded = (): boolean => signal.aborted;
  let heldUntilMs = clock.nowMs() + start.leaseMs;
  while (heldUntilMs < deadlineAtMs && !isEnded()) {
    await clock.sleep(start.leaseMs / 3, signal);
    const askedAtMs = clock.nowMs();
    if (askedAtMs >= heldUntilMs) {
      break;
    }
    const isHeld = !isEnded() && (await endpoints.renew(endpoint, start, signal));
    heldUntilMs = isHeld ? askedAtMs + start.leaseMs : heldUntilMs;
  }
  if (heldUntilMs >= deadlineAtMs || isEnded()) {
    return 'ended';
  }
  await clock.sleep(lapseGraceMs, signal);
  return isEnded() ? 'ended' : 'lapsed';
};
