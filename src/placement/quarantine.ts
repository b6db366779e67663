/**
 * Keeps the endpoints in quarantine to a bounded share of those that are served.
 */
import type { PooledEndpoint } from './pooledEndpoint.js';

/** Largest share of the endpoints that may be in quarantine at once. */
const maxShare = 0.5;

export class Quarantine {
  private readonly members = new Set<PooledEndpoint>();

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
  enter(pooled: PooledEndpoint): boolean {
    if (!this.members.has(pooled) && this.members.size + 1 > this.countEndpoints() * maxShare) {
      return false;
    }
    this.members.add(pooled);
    return true;
  }

  leave(pooled: PooledEndpoint): void {
    this.members.delete(pooled);
  }
}
