/**
 * The times that bound the leases which a dispatcher issues on its workers, in milliseconds.
 */

/** Largest share by which the clock of a worker may run slower than that of this process. */
export const maxDrift = 0.03;
/** Allowance for the time between reading the clock here and sending the order, in milliseconds. */
export const sendSlackMs = 20;

export interface LeaseTimes {
  /** Length of a lease. */
  readonly leaseMs: number;
  /** Longest lease that a worker accepts; it shortens others to this. */
  readonly longestLeaseMs: number;
  /**
   * Time for which the runs of a batch may go on after its requester was last known to wait for it. No
   * lease on a worker that has one of them ends later.
   */
  readonly confirmationMs: number;
}

/**
 * Longest time from the order of a full lease until it has ended, by a worker's clock that was read just now.
 */
export const longestLeaseDurationMs = ({ leaseMs }: Pick<LeaseTimes, 'leaseMs'>): number =>
  leaseMs * (1 + maxDrift) + sendSlackMs;

/** Times for a dispatcher whose requesters cannot be lost. */
export const unconfirmedLeaseTimes = (leaseMs: number): LeaseTimes => ({
  leaseMs,
  longestLeaseMs: leaseMs,
  confirmationMs: Infinity,
});
