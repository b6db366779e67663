/**
 * Which services have batches of several priorities. Only there do priorities decide; the tasks of the others start by
 * latest start alone.
 */

/** A priority counts for this long after its last batch; routes with fewer requests need no protection. */
const retentionMs = 60_000;

export class ServicePriorities {
  /** For each service, when the last batch of each priority arrived, in monotonic time. */
  private readonly seenAtMs = new Map<string, Map<number, number>>();

  private constructor() {
    // Built by create.
  }

  static create(): ServicePriorities {
    return new ServicePriorities();
  }

  /** Records a batch. */
  record(serviceId: string, priority: number, nowMs: number): void {
    const ofService = this.seenAtMs.get(serviceId) ?? new Map<number, number>();
    this.seenAtMs.set(serviceId, ofService.set(priority, nowMs));
  }

  /** Whether batches of several priorities have arrived lately. */
  areSeveral(serviceId: string, nowMs: number): boolean {
    const ofService = this.seenAtMs.get(serviceId);
    if (ofService === undefined || ofService.size < 2) {
      return false;
    }
    for (const [priority, atMs] of ofService) {
      if (nowMs - atMs > retentionMs) {
        ofService.delete(priority);
      }
    }
    return ofService.size > 1;
  }
}
