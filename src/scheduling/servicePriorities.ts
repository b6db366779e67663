/**
 * Decides for which services priorities count: with the policy `priority`, for those that have had batches of several
 * priorities lately. The tasks of the others start by latest start alone.
 */
import { mayDecideByPriority } from '../types/schedulingPolicy.js';
import type { SchedulingPolicy } from '../types/schedulingPolicy.js';

/** A priority counts for this long after its last batch; routes with fewer requests need no protection. */
const retentionMs = 60_000;

export class ServicePriorities {
  /** For each service, when the last batch of each priority arrived, in monotonic time. */
  private readonly seenAtMs = new Map<string, Map<number, number>>();

  private constructor(private readonly policy: SchedulingPolicy) {}

  static create(policy: SchedulingPolicy): ServicePriorities {
    return new ServicePriorities(policy);
  }

  /** Records a batch. */
  record(serviceId: string, priority: number, nowMs: number): void {
    const ofService = this.seenAtMs.get(serviceId) ?? new Map<number, number>();
    this.seenAtMs.set(serviceId, ofService.set(priority, nowMs));
  }

  /** Whether priorities decide the order of the tasks of a service. */
  decide(serviceId: string, nowMs: number): boolean {
    return mayDecideByPriority(this.policy) && this.areSeveral(serviceId, nowMs);
  }

  /** Whether batches of several priorities have arrived lately. */
  private areSeveral(serviceId: string, nowMs: number): boolean {
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
