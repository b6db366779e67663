/**
 * The equal share of a quota that a daemon has without asking anyone.
 *
 * Whoever knows more daemons than there are takes less, never more, so the shares of daemons that
 * know one another add up to the quota at most.
 */
import type { Quota } from '../types/configuration.js';
import type { QuotaLimit } from './quotaGate.js';

export const noShare: QuotaLimit = { startsPerS: 0, slots: 0 };

/** A daemon among those that share. */
export interface Sharer {
  readonly failureDomainIds: readonly string[];
  readonly failureDomainId: string;
  readonly vmIds: readonly string[];
  readonly vmId: string;
}

/** Place of a daemon among those that share; ranks are below 0 where it does not stand there. */
export interface SharePlace {
  readonly domainCount: number;
  readonly domainRank: number;
  readonly daemonCount: number;
  readonly daemonRank: number;
}

/**
 * Finds the place of a daemon, which is the same for every quota.
 *
 * @param sharer - the daemon, and all those that it knows
 */
export const findPlace = (sharer: Sharer): SharePlace => ({
  domainCount: sharer.failureDomainIds.length,
  domainRank: [...sharer.failureDomainIds].sort().indexOf(sharer.failureDomainId),
  daemonCount: sharer.vmIds.length,
  daemonRank: [...sharer.vmIds].sort().indexOf(sharer.vmId),
});

/**
 * Computes the share of one daemon: the quota is split over failure domains, then over the daemons
 * of each.
 *
 * @param quota - the quota of a team
 * @param place - where the daemon stands
 */
export const shareOf = (
  quota: Quota,
  { domainCount, domainRank, daemonCount, daemonRank }: SharePlace,
): QuotaLimit => {
  if (domainRank < 0 || daemonRank < 0) {
    return noShare;
  }
  const domainSlots = splitWhole(quota.slots, domainCount, domainRank);
  return {
    startsPerS: quota.startsPerS / domainCount / daemonCount,
    slots: splitWhole(domainSlots, daemonCount, daemonRank),
  };
};

/** @returns the part of a whole number that falls to one rank of several; the first get the rest */
const splitWhole = (total: number, count: number, rank: number): number =>
  Math.max(0, Math.ceil((total - rank) / count));
