/**
 * The share of a quota that this daemon has by the membership that it sees: the share shrinks at
 * once, but grows only while the membership is stable.
 */
import type { Quota } from '../types/configuration.js';
import type { DomainMembers } from '../types/limits.js';
import type { Clock } from '../ports/clock.js';
import type { QuotaLimit } from './quotaLimiter.js';
import { computeShare, findSharePosition, zeroLimit } from './quotaShares.js';
import type { SharePosition } from './quotaShares.js';

/**
 * A share grows only after every daemon of the failure domain was reachable and the membership
 * unchanged for this long: by then each daemon whose share shrinks has reduced it, and the loans
 * that it had granted have expired.
 */
const shareGrowthDelayMs = 4_000;

export interface ShareTrackerOptions {
  readonly vmId: string;
  readonly failureDomainId: string;
  readonly clock: Clock;
  /** Returns the daemons of the failure domain as this one knows them now. */
  readonly members: () => DomainMembers;
}

export class ShareTracker {
  private failureDomainIds: readonly string[] = [];
  /** Failure domains and daemons at the last update, as text for comparison. */
  private membershipView = '';
  private position: SharePosition = {
    domainCount: 0,
    domainRank: -1,
    daemonCount: 0,
    daemonRank: -1,
  };
  /** Monotonic time from which shares may grow; infinite while a daemon is unreachable. */
  private stableFromMs = Infinity;

  private constructor(private readonly options: ShareTrackerOptions) {}

  static create(options: ShareTrackerOptions): ShareTracker {
    return new ShareTracker(options);
  }

  /** Sets the failure domains that share the quotas. */
  setFailureDomains(failureDomainIds: readonly string[]): void {
    this.failureDomainIds = failureDomainIds;
    this.update();
  }

  /** Recomputes the position among the daemons, and restarts the growth delay on any change. */
  update(): void {
    const { vmIds, isFullyReachable } = this.options.members();
    const view = [...this.failureDomainIds, '', ...vmIds].join(' ');
    this.position = this.findPosition(vmIds);
    if (!isFullyReachable) {
      this.stableFromMs = Infinity;
    } else if (view !== this.membershipView || this.stableFromMs === Infinity) {
      this.stableFromMs = this.options.clock.nowMs() + shareGrowthDelayMs;
    }
    this.membershipView = view;
  }

  /**
   * Computes the share of a team that had no quota so far. With a stable membership it applies
   * at once, since it can only reduce what each daemon lets the team use.
   */
  initialShare(quota: Quota): QuotaLimit {
    return this.isStable ? computeShare(quota, this.position) : zeroLimit;
  }

  /**
   * Computes the share by the membership at the last update.
   *
   * @param quota - quota of the team
   * @param share - share of the team so far, which is exceeded only when the membership is stable
   */
  nextShare(quota: Quota, share: QuotaLimit): QuotaLimit {
    const computed = computeShare(quota, this.position);
    return this.isStable
      ? computed
      : {
          startsPerS: Math.min(share.startsPerS, computed.startsPerS),
          slots: Math.min(share.slots, computed.slots),
        };
  }

  /**
   * Computes the most that this daemon could use if all others lent their whole shares: the share
   * of the whole failure domain if every daemon of it is reachable, else only this daemon's.
   */
  attainableShare(quota: Quota): QuotaLimit {
    const { vmIds, isFullyReachable } = this.options.members();
    return computeShare(quota, this.findPosition(isFullyReachable ? [this.options.vmId] : vmIds));
  }

  private get isStable(): boolean {
    return this.options.clock.nowMs() >= this.stableFromMs;
  }

  private findPosition(vmIds: readonly string[]): SharePosition {
    const { vmId, failureDomainId } = this.options;
    const { failureDomainIds } = this;
    return findSharePosition({ failureDomainIds, failureDomainId, vmIds, vmId });
  }
}
