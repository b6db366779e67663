/**
 * How often two daemons exchange heartbeats: every second inside a failure domain and between the
 * few daemons that connect failure domains, seldom otherwise.
 */
import { unreachable } from '../errors/unreachable.js';
import type { VmRecord } from '../ports/vmList.js';
import { rankOwner } from './rendezvous.js';

/** Daemons of a failure domain that exchange heartbeats with other failure domains every second. */
const connectorsPerFailureDomain = 2;
const nearPeriodMs = 1_000;
const farPeriodMs = 30_000;

/** A peer that was not heard for this many periods counts as gone. */
export const unheardPeriods = 3;

/** How two daemons stand to each other. */
export type PeerRelation =
  { readonly kind: 'same-domain' } | { readonly kind: 'connectors' } | { readonly kind: 'far' };

/** A daemon and its failure domain. */
export type LocatedVm = Pick<VmRecord, 'vmId' | 'failureDomainId'>;

/**
 * Tells how two daemons stand to each other; both compute the same from the same VM list.
 *
 * @param own - one daemon
 * @param other - the other one
 * @param vms - the VM list
 */
export const relate = (
  own: LocatedVm,
  other: LocatedVm,
  vms: readonly VmRecord[],
): PeerRelation => {
  if (own.failureDomainId === other.failureDomainId) {
    return { kind: 'same-domain' };
  }
  return isConnector(own, vms) && isConnector(other, vms)
    ? { kind: 'connectors' }
    : { kind: 'far' };
};

/**
 * Tells the period of the heartbeats of a pair.
 *
 * @param relation - how the two stand to each other
 * @returns the period in milliseconds
 */
export const periodOf = (relation: PeerRelation): number => {
  switch (relation.kind) {
    case 'same-domain':
    case 'connectors':
      return nearPeriodMs;
    case 'far':
      return farPeriodMs;
    default:
      return unreachable(relation);
  }
};

const isConnector = (own: LocatedVm, vms: readonly VmRecord[]): boolean => {
  const others = vms.filter(
    (vm) =>
      vm.failureDomainId === own.failureDomainId && vm.vmId !== own.vmId && vm.state === 'live',
  );
  const rank = rankOwner('connector', toMember(own), others.map(toMember));
  return rank < connectorsPerFailureDomain;
};

const toMember = ({ vmId }: LocatedVm) => ({ incarnation: vmId, weight: 1 });
