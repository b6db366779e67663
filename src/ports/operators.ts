/** Inbound port: what the operators' interface asks of a daemon. */
import { z } from 'zod';
import { assignedEndpointSchema, heartbeatSchema } from '../membership/types.js';

/** What a daemon tells operators about itself. */
export const daemonStatusSchema = z.object({
  own: heartbeatSchema,
  /** The last heartbeat of every peer heard of late. */
  peers: z.array(heartbeatSchema),
  /** VMs that the VM list names and whose daemons are not heard. */
  unheardVmIds: z.array(z.string()),
  /** The endpoints of the daemon's failure domain. */
  endpoints: z.array(assignedEndpointSchema),
  rememberedSubmissions: z.number().int().nonnegative(),
});
export type DaemonStatus = z.infer<typeof daemonStatusSchema>;

export interface OperatorService {
  isReady(): boolean;
  describe(): DaemonStatus;
  /** Hears the peers again whose heartbeats come seldom, so that `describe` tells of now. */
  refreshPeers(): Promise<void>;
  /** Starts a planned stop. */
  drain(): void;
}
