/**
 * The daemons of one failure domain, by the VM list and by who is heard.
 */
import type { VmRecord } from '../ports/vmList.js';
import type { DomainMembers } from '../types/limits.js';
import type { Heartbeat } from '../types/membership.js';

/**
 * Lists the daemons of a failure domain that the VM list names or that are heard.
 *
 * @param own - this daemon's VM and failure domain
 * @param vms - the VM list
 * @param heard - last heartbeats of the peers that are heard
 */
export const listDomainMembers = (
  { vmId, failureDomainId }: Pick<Heartbeat, 'vmId' | 'failureDomainId'>,
  vms: readonly VmRecord[],
  heard: readonly Heartbeat[],
): DomainMembers => {
  const listedIds = vms
    .filter((vm) => vm.failureDomainId === failureDomainId && vm.peerAddress !== undefined)
    .map((vm) => vm.vmId);
  const heardIds = heard
    .filter((member) => member.failureDomainId === failureDomainId)
    .map((member) => member.vmId);
  const isWhole =
    listedIds.includes(vmId) && listedIds.every((one) => one === vmId || heardIds.includes(one));
  return { vmIds: [...new Set([vmId, ...listedIds, ...heardIds])].sort(), isWhole };
};
