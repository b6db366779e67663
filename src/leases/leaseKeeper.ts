/**
 * Keeps the lease of a task that runs on an endpoint. The first lease covers the time left to the
 * deadline, up to the longest that the platform grants; if that is shorter, the lease is renewed.
 */
import type { Endpoint } from '../types/inventory.js';
import type { Clock } from '../ports/clock.js';
import type { EndpointPort, TaskStart } from '../ports/endpoints.js';

/** Longest lease that the platform grants. */
export const maxLeaseMs = 30_000;
/** Time for which a complete answer is still accepted after the lease has lapsed. */
const lapseGraceMs = 500;

export interface LeaseKeeperOptions {
  readonly clock: Clock;
  readonly endpoints: EndpointPort;
}

/**
 * Computes the length of the first lease.
 *
 * @param timeLeftMs - time left to the deadline, in milliseconds
 * @returns length in milliseconds
 */
export const firstLeaseMs = (timeLeftMs: number): number => Math.min(timeLeftMs, maxLeaseMs);

/**
 * Renews a lease at each third of its length until the task ends or the lease covers the deadline.
 *
 * @param options - clock and endpoints
 * @param endpoint - where the task runs
 * @param start - the attempt, with its first lease
 * @param deadlineAtMs - when the lease is no longer needed, in monotonic time
 * @param signal - aborted when the task has ended
 * @returns `lapsed` if the lease ended before the deadline and the task did not end soon after;
 *   `ended` if the task has ended or the lease covers the deadline
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
    // A renewed lease is counted from before the request, since the endpoint grants it later.
    const requestedAtMs = clock.nowMs();
    if (requestedAtMs >= heldUntilMs) {
      break;
    }
    const isHeld = !isEnded() && (await endpoints.renew(endpoint, start, signal));
    heldUntilMs = isHeld ? requestedAtMs + start.leaseMs : heldUntilMs;
  }
  if (heldUntilMs >= deadlineAtMs || isEnded()) {
    return 'ended';
  }
  await clock.sleep(lapseGraceMs, signal);
  return isEnded() ? 'ended' : 'lapsed';
};
