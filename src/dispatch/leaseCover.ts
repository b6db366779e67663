/**
 * The time until which a worker certainly runs on, unless it ends: what its acknowledged leases cover. `LeaseClock`
 * tells by when all leases have ended at the latest, this until when one has lasted at the least. A lease that
 * the worker has not acknowledged covers nothing.
 */
import { maxDrift } from './leaseTimes.js';

/** A lease and what the worker's acknowledgement says. */
export interface AcknowledgedLease {
  /** End of the lease on the worker's clock, in milliseconds. */
  readonly leaseEndWorkerMs: number;
  /** Reading of the worker's clock in the acknowledgement, in milliseconds. */
  readonly workerClockMs: number;
  /** When the order was sent, in monotonic time. */
  readonly requestedAtMs: number;
}

/** The worker's clock showed the reading at this monotonic time or later. */
interface ClockAnchor {
  readonly workerClockMs: number;
  readonly atMs: number;
}

export class LeaseCover {
  private anchor: ClockAnchor | undefined;

  private constructor(private readonly longestLeaseMs: number) {}

  /**
   * @param longestLeaseMs - longest lease that the worker accepts; it shortens others to this, in milliseconds
   */
  static create(longestLeaseMs: number): LeaseCover {
    return new LeaseCover(longestLeaseMs);
  }

  /**
   * Takes note of an acknowledgement.
   *
   * @returns the earliest time at which the lease can end, in monotonic time
   */
  acknowledge({ leaseEndWorkerMs, workerClockMs, requestedAtMs }: AcknowledgedLease): number {
    const anchor = this.updateAnchor(workerClockMs, requestedAtMs);
    const byClockMs = earliestTimeOf(leaseEndWorkerMs, anchor);
    return Math.min(byClockMs, requestedAtMs + this.longestLeaseMs * (1 - maxDrift));
  }

  /**
   * A reply after a wait was written long after its request: there, an earlier reading tells more. A clock that has
   * started anew shows less than the earlier reading leads to, so that it replaces that.
   */
  private updateAnchor(workerClockMs: number, requestedAtMs: number): ClockAnchor {
    const { anchor } = this;
    if (anchor !== undefined && earliestTimeOf(workerClockMs, anchor) >= requestedAtMs) {
      return anchor;
    }
    this.anchor = { workerClockMs, atMs: requestedAtMs };
    return this.anchor;
  }
}

/** @returns the earliest time at which a clock shows a reading, in monotonic time */
const earliestTimeOf = (workerClockMs: number, anchor: ClockAnchor): number => {
  const passedMs = workerClockMs - anchor.workerClockMs;
  return anchor.atMs + passedMs * (passedMs > 0 ? 1 - maxDrift : 1 + maxDrift);
};
