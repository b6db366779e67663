/**
 * Whether a daemon dispatches to workers. In a failure domain with VMs of different sizes, the small ones
 * leave it to the large ones, whose processors bear it: nearly every job reaches several dispatchers, and
 * the slowest of them decides when the job ends.
 */
import type { Member } from '../types/fleet.js';

/** A VM is large beside one of which it has this many times the processor. */
const largeFactor = 2;
/** Share of the processors of a failure domain that its large VMs must have, to dispatch alone. */
const minLargeShare = 0.5;

/**
 * Tells whether a daemon is needed as a dispatcher.
 *
 * @param own - the daemon
 * @param near - the other daemons of its failure domain that are heard
 */
export const isNeededAsDispatcher = (own: Member, near: readonly Member[]): boolean => {
  const sum = (members: readonly Member[]): number =>
    members.reduce((total, { weight }) => total + weight, 0);
  const large = near.filter(({ weight }) => weight >= own.weight * largeFactor);
  return sum(large) < minLargeShare * (sum(near) + own.weight);
};
