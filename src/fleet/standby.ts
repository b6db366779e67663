/**
 * Decides whether a daemon dispatches to workers. In a failure domain with VMs of different sizes,
 * only the large ones dispatch if their processors suffice: nearly every job uses several
 * dispatchers, and the slowest of them determines when the job ends.
 */
import type { Member } from '../types/fleet.js';

/** A VM is large compared with one whose weight it has at least this many times. */
const minLargeRatio = 2;
/** Share of a failure domain's total weight that its large VMs need to dispatch alone. */
const minLargeShare = 0.5;

/**
 * Decides whether a daemon is needed as a dispatcher: it is, unless the large VMs suffice.
 *
 * @param own - the daemon
 * @param others - the other daemons of its failure domain that are present
 */
export const isNeededAsDispatcher = (own: Member, others: readonly Member[]): boolean => {
  const totalWeight = (members: readonly Member[]): number =>
    members.reduce((total, { weight }) => total + weight, 0);
  const large = others.filter(({ weight }) => weight >= own.weight * minLargeRatio);
  return totalWeight(large) < minLargeShare * (totalWeight(others) + own.weight);
};
