/**
 * The equal share of a quota that a daemon has without asking anyone.
 *
 * Whoever knows more daemons than there are takes less, never more, so the shares of daemons that
 * know one another add up to the quota at most.
 */
import type { Quota } from '../configuration/types.js';
import type { QuotaLimit } from './quotaGate.js';

export const noShare: QuotaLimit = { startsPerS: 0, slots: 0 };

/** Place of a daemon among those that share. */
export interface SharePlace {
  readonly failureDomainIds: readonly string[];
  readonly failureDomainId: string;
  readonly vmIds: readonly string[];
  readonly vmId: string;
}

/**
 * Computes the share of one daemon: the quota is split over failure domains, then over the daemons
 * of each.
 *
 * @param quota - the quota of a team
 * @param place - where the daemon stands
 */
export const shareOf = (quota: Quota, place: SharePlace): QuotaLimit => {
  const domains = [...place.failureDomainIds].sort();
  const vmIds = [...place.vmIds].sort();
  const domainRank = domains.indexOf(place.failureDomainId);
  const rank = vmIds.indexOf(place.vmId);
  if (domainRank < 0 || rank < 0) {
    return noShare;
  }
  const domainSlots = splitWhole(quota.slots, domains.length, domainRank);
  return {
    startsPerS: quota.startsPerS / domains.length / vmIds.length,
    slots: splitWhole(domainSlots, vmIds.length, rank),
  };
};

/** @returns the part of a whole number that falls to one rank of several; the first get the rest */
const splitWhole = (total: number, count: number, rank: number): number =>
  Math.max(0, Math.ceil((total - rank) / count));
