/**
 * Tells which daemons run a version of the configuration.
 */
import type { Heartbeat } from '../types/membership.js';
import type { DaemonStatus } from '../ports/operators.js';

/** The version that one daemon runs. */
export type RolloutRow =
  | {
      readonly kind: 'heard';
      readonly vmId: string;
      readonly failureDomainId: string;
      readonly incarnation: string;
      readonly version: number;
    }
  | { readonly kind: 'unheard'; readonly vmId: string };

/** How far a version has come. */
export interface Rollout {
  readonly version: number;
  readonly rows: readonly RolloutRow[];
  /** Whether every listed daemon is heard and runs the version or a higher one. */
  readonly isInForceEverywhere: boolean;
}

/**
 * Tells how far a version has come, as one daemon and its peers see it.
 *
 * @param version - the version
 * @param status - what the daemon tells
 */
export const describeRollout = (version: number, status: DaemonStatus): Rollout => {
  const heard = [status.own, ...status.peers].map(toRow);
  const unheard = status.unheardVmIds.map((vmId): RolloutRow => ({ kind: 'unheard', vmId }));
  const rows = [...heard, ...unheard].sort((a, b) => (a.vmId < b.vmId ? -1 : 1));
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
