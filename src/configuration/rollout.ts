/**
 * Reports which daemons run a version of the configuration.
 */
import type { Heartbeat } from '../types/membership.js';
import type { DaemonStatus } from '../ports/operators.js';

/** The version that one daemon runs, if the daemon is reachable. */
export type RolloutRow =
  | {
      readonly kind: 'heard';
      readonly vmId: string;
      readonly failureDomainId: string;
      readonly incarnation: string;
      readonly version: number;
    }
  | { readonly kind: 'unheard'; readonly vmId: string };

/** The daemons' progress towards a version. */
export interface Rollout {
  readonly version: number;
  readonly rows: readonly RolloutRow[];
  /** Whether every daemon of the VM list is reachable and runs the version or a higher one. */
  readonly isInForceEverywhere: boolean;
}

/**
 * Computes the progress towards a version from the status of one daemon.
 *
 * @param version - the version that is rolled out
 * @param status - the daemon's own state and the last heartbeats of its peers
 */
export const describeRollout = (version: number, status: DaemonStatus): Rollout => {
  const reachable = [status.own, ...status.peers].map(toRow);
  const unreachable = status.unheardVmIds.map((vmId): RolloutRow => ({ kind: 'unheard', vmId }));
  const rows = [...reachable, ...unreachable].sort((a, b) => (a.vmId < b.vmId ? -1 : 1));
  const isInForceEverywhere = rows.every((row) => row.kind === 'heard' && row.version >= version);
  return { version, rows, isInForceEverywhere };
};

const toRow = (heartbeat: Heartbeat): RolloutRow => ({
  kind: 'heard',
  vmId: heartbeat.vmId,
  failureDomainId: heartbeat.failureDomainId,
  incarnation: heartbeat.incarnation,
  version: heartbeat.configurationVersion,
});
