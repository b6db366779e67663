/** Identity and location of a daemon, from its settings. */
export interface DaemonIdentity {
  readonly vmId: string;
  readonly failureDomainId: string;
  /** Relative size of the VM; a larger one gets more endpoints in the rendezvous hash. */
  readonly weight: number;
}
