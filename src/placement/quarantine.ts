/**
 * Keeps the endpoints in quarantine to a bounded share of those that are served.
 */
import type { PooledEndpoint } from './pooledEndpoint.js';

/** Largest share of the endpoints that may be in quarantine at once. */
const maxQuarantinedShare = 0.5;

export class Quarantine {
  private readonly quarantined = new Set<PooledEndpoint>();

  private constructor(private readonly countEndpoints: () => number) {}

  /**
   * Creates a quarantine.
   *
   * @param countEndpoints - tells how many endpoints are served
   */
  static create(countEndpoints: () => number): Quarantine {
    return new Quarantine(countEndpoints);
  }

  /** Takes an endpoint in, if the share allows. */
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

  leave(pooled: PooledEndpoint): void {
    this.quarantined.delete(pooled);
  }
}
