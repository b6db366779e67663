/**
 * Schemas of the HTTP and JSON messages between a dispatcher and an endpoint.
 */
import { z } from 'zod';

/** `POST /v1/tasks`: runs one task and responds when it has ended. */
export const taskRequestSchema = z.object({
  incarnation: z.string(),
  taskId: z.string(),
  attempt: z.number().int(),
  operation: z.string(),
  input: z.unknown(),
  /** Duration of the first lease, in milliseconds. */
  leaseMs: z.number(),
});
export type TaskRequest = z.infer<typeof taskRequestSchema>;

/** Fields that identify an attempt to run a task. */
const attemptShape = {
  incarnation: z.string(),
  taskId: z.string(),
  attempt: z.number().int(),
};

/** Response to `POST /v1/tasks`; carries the identity of the attempt that it belongs to. */
export const taskReplySchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('done'), ...attemptShape, result: z.unknown() }),
  z.object({
    kind: z.literal('failed'),
    ...attemptShape,
    fault: z.enum(['task', 'endpoint']),
    detail: z.string().max(1_024),
  }),
  z.object({
    kind: z.literal('not-started'),
    ...attemptShape,
    reason: z.enum(['busy', 'leaving']),
  }),
  z.object({ kind: z.literal('lease-lapsed'), ...attemptShape }),
]);
export type TaskReply = z.infer<typeof taskReplySchema>;

/** `POST /v1/cancellations`: stops tasks. */
export const cancellationSchema = z.object({ taskIds: z.array(z.string()).max(4_096) });

/** `POST /v1/leases`: extends the lease of a running task; the reply says whether it is still held. */
export const leaseRenewalSchema = z.object({ ...attemptShape, leaseMs: z.number() });
export const leaseReplySchema = z.object({ held: z.boolean() });
