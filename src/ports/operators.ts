/** Inbound port of the operators' interface. */
import { z } from 'zod';
import { serviceLevelObjectiveSchema } from '../types/configuration.js';
import { jobTraceSchema } from '../types/explain.js';
import type { JobTrace } from '../types/explain.js';
import { minuteSumSchema } from '../types/report.js';
import { assignedEndpointSchema, heartbeatSchema } from '../types/membership.js';

/** The state of a daemon and what it knows of its peers. */
export const daemonStatusSchema = z.object({
  own: heartbeatSchema,
  /** The last heartbeat of every reachable peer. */
  peers: z.array(heartbeatSchema),
  /** VMs on the VM list whose daemons are not reachable. */
  unheardVmIds: z.array(z.string()),
  /** The endpoints of the daemon's failure domain. */
  endpoints: z.array(assignedEndpointSchema),
  rememberedSubmissions: z.number().int().nonnegative(),
});
export type DaemonStatus = z.infer<typeof daemonStatusSchema>;

/** The traces that one daemon has of the jobs of one name. */
export const tracesReplySchema = z.object({ vmId: z.string(), traces: z.array(jobTraceSchema) });
export type TracesReply = z.infer<typeof tracesReplySchema>;

/** The minute counts that are not in the log yet, and the service-level objectives in force. */
export const serviceLevelsSchema = z.object({
  vmId: z.string(),
  objectives: z.array(serviceLevelObjectiveSchema),
  sums: z.array(minuteSumSchema),
});
export type ServiceLevels = z.infer<typeof serviceLevelsSchema>;

export interface OperatorService {
  isReady(): boolean;
  /** @returns the state of this daemon, from memory */
  daemonStatus(): DaemonStatus;
  /**
   * Finds the traces that this daemon has of jobs.
   *
   * @param name - a submission key or a job id
   */
  jobTraces(name: string): JobTrace[];
  serviceLevels(): ServiceLevels;
  /** Exchanges heartbeats with every peer now, since some do so rarely; updates their status. */
  refreshPeers(): Promise<void>;
  /** Starts a planned shutdown: no new submissions are accepted, running jobs continue. */
  drain(): void;
}
