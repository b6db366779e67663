/**
 * Messages between a dispatcher and an endpoint: HTTP and JSON.
 */
import { z } from 'zod';

/** `POST /v1/tasks`: runs one task and answers when it ended. */
export const taskRequestSchema = z.object({
  incarnation: z.string(),
  taskId: z.string(),
  attempt: z.number().int(),
  operation: z.string(),
  input: z.unknown(),
  leaseMs: z.number(),
});
export type TaskRequest = z.infer<typeof taskRequestSchema>;

const identityShape = {
  incarnation: z.string(),
  taskId: z.string(),
  attempt: z.number().int(),
};

/** The answer names the attempt that it belongs to. */
export const taskReplySchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('done'), ...identityShape, result: z.unknown() }),
  z.object({
    kind: z.literal('failed'),
    ...identityShape,
    fault: z.enum(['task', 'endpoint']),
    detail: z.string().max(1_024),
  }),
  z.object({
    kind: z.literal('not-started'),
    ...identityShape,
    reason: z.enum(['busy', 'leaving']),
  }),
  z.object({ kind: z.literal('lease-lapsed'), ...identityShape }),
]);
export type TaskReply = z.infer<typeof taskReplySchema>;

/** `POST /v1/cancellations`: stops tasks. */
export const cancellationSchema = z.object({ taskIds: z.array(z.string()).max(4_096) });

/** `POST /v1/leases`: extends the lease of a running task. */
export const leaseRenewalSchema = z.object({ ...identityShape, leaseMs: z.number() });
export const leaseReplySchema = z.object({ held: z.boolean() });
