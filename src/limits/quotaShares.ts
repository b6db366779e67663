/**
 * The equal share of a quota that a daemon computes on its own, without coordination.
 *
 * The more daemons it counts, whether or not they still exist, the smaller is its share. So the
 * shares of daemons that know one another add up to the quota at most.
 */
import type { Quota } from '../types/configuration.js';
import type { QuotaLimit } from './quotaLimiter.js';

/** A limit under which nothing may start. */
export const zeroLimit: QuotaLimit = { startsPerS: 0, slots: 0 };

/** A daemon, with all failure domains and daemons known to it that share the quotas. */
export interface QuotaParticipant {
  readonly failureDomainIds: readonly string[];
  /** Failure domain of the daemon. */
  readonly failureDomainId: string;
  /** Daemons of its failure domain, this one included. */
  readonly vmIds: readonly string[];
  /** VM of the daemon. */
  readonly vmId: string;
}

/** Position of a daemon among those that share; a rank is -1 where the daemon is not listed. */
export interface SharePosition {
  readonly domainCount: number;
  readonly domainRank: number;
  readonly daemonCount: number;
  readonly daemonRank: number;
}

/**
 * Computes the position of a daemon, which is the same for every quota.
 *
 * @param participant - the daemon, with the failure domains and daemons known to it
 */
export const findSharePosition = (participant: QuotaParticipant): SharePosition => ({
  domainCount: participant.failureDomainIds.length,
  domainRank: [...participant.failureDomainIds].sort().indexOf(participant.failureDomainId),
  daemonCount: participant.vmIds.length,
  daemonRank: [...participant.vmIds].sort().indexOf(participant.vmId),
});

/**
 * Computes the share of one daemon: the quota is split evenly over failure domains, then over the
 * daemons of each.
 *
 * @param quota - the quota of a team
 * @param position - position of the daemon among those that share
 * @returns the share; zero for a daemon that is not listed
 */
export const computeShare = (
  quota: Quota,
  { domainCount, domainRank, daemonCount, daemonRank }: SharePosition,
): QuotaLimit => {
  if (domainRank < 0 || daemonRank < 0) {
    return zeroLimit;
  }
  const domainSlots = splitWhole(quota.slots, domainCount, domainRank);
  return {
    startsPerS: quota.startsPerS / domainCount / daemonCount,
    slots: splitWhole(domainSlots, daemonCount, daemonRank),
  };
};

/**
 * Splits a whole number evenly.
 *
 * @returns the part of one rank; the remainder goes to the lowest ranks
 */
const splitWhole = (total: number, count: number, rank: number): number =>
  Math.max(0, Math.ceil((total - rank) / count));
