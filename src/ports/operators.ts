/** Inbound port: what the operators' interface asks of a daemon. */
import type { JobTrace } from '../explain/types.js';
import type { AssignedEndpoint } from '../membership/dispatchAssignment.js';
import type { Heartbeat } from '../membership/types.js';

/** What a daemon tells operators about itself. */
export interface DaemonStatus {
  readonly own: Heartbeat;
  readonly peers: readonly Heartbeat[];
  /** VMs that the VM list names and whose daemons are not heard. */
  readonly unheardVmIds: readonly string[];
  /** The endpoints of the daemon's failure domain. */
  readonly endpoints: readonly AssignedEndpoint[];
  readonly rememberedSubmissions: number;
}

export interface OperatorService {
  isReady(): boolean;
  describe(): DaemonStatus;
  /**
   * Finds what this daemon remembers of jobs.
   *
   * @param name - a submission key or a job id
   */
  jobTraces(name: string): readonly JobTrace[];
  /** Starts a planned stop. */
  drain(): void;
}
