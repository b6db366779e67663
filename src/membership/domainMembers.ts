/**
 * The daemons of one failure domain, by the VM list and by reachability.
 */
import type { VmRecord } from '../ports/vmList.js';
import type { DomainMembers } from '../types/limits.js';
import type { Heartbeat } from '../types/membership.js';

/**
 * Lists the daemons of this daemon's failure domain that the VM list names or that are reachable.
 *
 * @param own - this daemon's VM and failure domain
 * @param vms - the VM list
 * @param reachable - last heartbeats of the reachable peers, of any failure domain
 */
export const listDomainMembers = (
  { vmId, failureDomainId }: Pick<Heartbeat, 'vmId' | 'failureDomainId'>,
  vms: readonly VmRecord[],
  reachable: readonly Heartbeat[],
): DomainMembers => {
  const listedIds = vms
    .filter((vm) => vm.failureDomainId === failureDomainId && vm.peerAddress !== undefined)
    .map((vm) => vm.vmId);
  const reachableIds = reachable
    .filter((member) => member.failureDomainId === failureDomainId)
    .map((member) => member.vmId);
  const isFullyReachable =
    listedIds.includes(vmId) &&
    listedIds.every((one) => one === vmId || reachableIds.includes(one));
  return { vmIds: [...new Set([vmId, ...listedIds, ...reachableIds])].sort(), isFullyReachable };
};
