/** Inbound port: what the operators' interface asks of a daemon. */
import { z } from 'zod';
import { serviceLevelObjectiveSchema } from '../types/configuration.js';
import { jobTraceSchema } from '../types/explain.js';
import type { JobTrace } from '../types/explain.js';
import { minuteSumSchema } from '../types/report.js';
import { assignedEndpointSchema, heartbeatSchema } from '../types/membership.js';

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

/** What a daemon remembers of the jobs of one name. */
export const tracesReplySchema = z.object({ vmId: z.string(), traces: z.array(jobTraceSchema) });
export type TracesReply = z.infer<typeof tracesReplySchema>;

/** The minute sums that the log does not have yet, and the objectives in force. */
export const serviceLevelsSchema = z.object({
  vmId: z.string(),
  objectives: z.array(serviceLevelObjectiveSchema),
  sums: z.array(minuteSumSchema),
});
export type ServiceLevels = z.infer<typeof serviceLevelsSchema>;

export interface OperatorService {
  isReady(): boolean;
  describe(): DaemonStatus;
  /**
   * Finds what this daemon remembers of jobs.
   *
   * @param name - a submission key or a job id
   */
  jobTraces(name: string): JobTrace[];
  serviceLevels(): ServiceLevels;
  /** Hears the peers again whose heartbeats come seldom, so that `describe` tells of now. */
  refreshPeers(): Promise<void>;
  /** Starts a planned stop. */
  drain(): void;
}
