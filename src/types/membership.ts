/**
 * Schemas of what the daemons tell one another about themselves.
 */
import { z } from 'zod';
import { quotaNoticeSchema } from './limits.js';

export const daemonStateSchema = z.enum(['active', 'leaving']);
export type DaemonState = z.infer<typeof daemonStateSchema>;

export const heartbeatSchema = z.object({
  vmId: z.string().max(64),
  incarnation: z.string().max(32),
  failureDomainId: z.string().max(64),
  state: daemonStateSchema,
  weight: z.number().positive(),
  freeSlots: z.number().int().nonnegative(),
  waitingTasks: z.number().int().nonnegative(),
  configurationVersion: z.number().int().nonnegative(),
  /** Grows whenever the set of tables taken over from stopped daemons changes. */
  inheritanceVersion: z.number().int().nonnegative().default(0),
  /** Sent only where a quota is short or lent. */
  quota: quotaNoticeSchema.optional(),
});
export type Heartbeat = z.infer<typeof heartbeatSchema>;

/** An endpoint of a failure domain and who dispatches to it. */
export const assignedEndpointSchema = z.object({
  endpointId: z.string(),
  /** VM of the dispatcher, as the daemon that tells it sees the members. */
  dispatcher: z.string().nullable(),
  state: z.enum(['active', 'leaving']),
});
export type AssignedEndpoint = z.infer<typeof assignedEndpointSchema>;
