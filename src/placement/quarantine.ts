/**
 * Limits the endpoints in quarantine to a share of those that are served, so that a fault which all
 * of them show does not stop all work.
 */
import type { PooledEndpoint } from './pooledEndpoint.js';

/** Largest share of the endpoints that may be in quarantine at once. */
const maxQuarantinedShare = 0.5;

export class Quarantine {
  private readonly quarantined = new Set<PooledEndpoint>();

  private constructor(private readonly countEndpoints: () => number) {}

  /**
   * Creates an empty quarantine.
   *
   * @param countEndpoints - returns how many endpoints are served
   */
  static create(countEndpoints: () => number): Quarantine {
    return new Quarantine(countEndpoints);
  }

  /**
   * Puts an endpoint into quarantine if the share allows it.
   *
   * @returns whether the endpoint is in quarantine
   */
  tryEnter(pooled: PooledEndpoint): boolean {
    if (
      !this.quarantined.has(pooled) &&
      this.quarantined.size + 1 > this.countEndpoints() * maxQuarantinedShare
    ) {
      return false;
    }
    this.quarantined.add(pooled);
    return true;
  }

  /** Takes an endpoint out of quarantine, if it is there. */
  leave(pooled: PooledEndpoint): void {
    this.quarantined.delete(pooled);
  }
}
