/**
 * Schemas of the heartbeats that daemons exchange and of the assignment of endpoints to dispatchers.
 */
import { z } from 'zod';
import { quotaNoticeSchema } from './limits.js';

export const daemonStateSchema = z.enum(['active', 'leaving']);
export type DaemonState = z.infer<typeof daemonStateSchema>;

/** The state of a daemon, which it reports to its peers. */
export const heartbeatSchema = z.object({
  vmId: z.string().max(64),
  incarnation: z.string().max(32),
  failureDomainId: z.string().max(64),
  state: daemonStateSchema,
  weight: z.number().positive(),
  freeSlots: z.number().int().nonnegative(),
  waitingTasks: z.number().int().nonnegative(),
  configurationVersion: z.number().int().nonnegative(),
  /** Increases with every change of the set of tables adopted from stopped daemons. */
  inheritanceVersion: z.number().int().nonnegative().default(0),
  /** Sent only while some team needs more than its limit or some quota is lent. */
  quota: quotaNoticeSchema.optional(),
});
export type Heartbeat = z.infer<typeof heartbeatSchema>;

/** An endpoint and the daemon that dispatches to it. */
export const assignedEndpointSchema = z.object({
  endpointId: z.string(),
  /** VM of the dispatcher, according to the reporting daemon; null if there is none. */
  dispatcher: z.string().nullable(),
  state: z.enum(['active', 'leaving']),
});
export type AssignedEndpoint = z.infer<typeof assignedEndpointSchema>;
