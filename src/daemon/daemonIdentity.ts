/**
 * Who a daemon is; from its settings.
 */
export interface DaemonIdentity {
  readonly vmId: string;
  readonly failureDomainId: string;
  /** Relative size of the VM. */
  readonly weight: number;
}
