/**
 * How often two daemons exchange heartbeats: every second within a failure domain and between the
 * connectors of two failure domains, every 30 s otherwise.
 */
import { unreachable } from '../errors/unreachable.js';
import type { VmRecord } from '../ports/vmList.js';
import { rankMember } from './rendezvous.js';

/** Connectors: daemons of a failure domain that exchange heartbeats with those of the others. */
const connectorsPerFailureDomain = 2;
const nearPeriodMs = 1_000;
const farPeriodMs = 30_000;

/** Longest pause between two attempts to reach a peer that is unreachable. */
export const retryPeriodMs = 5_000;

/** A peer without a heartbeat for this many periods counts as unreachable. */
export const unreachableAfterPeriods = 3;

/** Class of a pair of daemons; in `connectors` each is a connector of its failure domain. */
export type PeerRelation =
  { readonly kind: 'same-domain' } | { readonly kind: 'connectors' } | { readonly kind: 'far' };

/** A daemon and its failure domain. */
export type LocatedVm = Pick<VmRecord, 'vmId' | 'failureDomainId'>;

/**
 * Classifies a pair of daemons; both compute the same from the same VM list.
 *
 * @param own - one daemon
 * @param other - the other one
 * @param vms - the VM list
 */
export const classifyPair = (
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
 * Returns the heartbeat period of a pair.
 *
 * @param relation - the class of the pair
 * @returns the period in milliseconds
 */
export const heartbeatPeriodMs = (relation: PeerRelation): number => {
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

/**
 * Checks whether a daemon is one of the connectors of its failure domain, by rendezvous hash. The
 * name is part of the hash, so all daemons must use the same one.
 */
const isConnector = (own: LocatedVm, vms: readonly VmRecord[]): boolean => {
  const others = vms.filter(
    (vm) =>
      vm.failureDomainId === own.failureDomainId && vm.vmId !== own.vmId && vm.state === 'live',
  );
  const rank = rankMember('connector', toWeightedMember(own), others.map(toWeightedMember));
  return rank < connectorsPerFailureDomain;
};

/** Uses the VM id, which the VM list has for every daemon; it does not have incarnations. */
const toWeightedMember = ({ vmId }: LocatedVm) => ({ incarnation: vmId, weight: 1 });
