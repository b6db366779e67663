/**
 * Schemas of the event trace that a daemon keeps of each job.
 */
import { z } from 'zod';
import { problemSchema } from '../errors/problem.js';

/** Wall-clock time of an event, in milliseconds since the epoch. */
const timeShape = { atMs: z.number() };

const attemptShape = {
  ...timeShape,
  /** Position of the task in its job, from 0. */
  task: z.number().int().nonnegative(),
  attempt: z.number().int(),
  endpointId: z.string(),
};

export const traceEventSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('received'),
    ...timeShape,
    taskCount: z.number().int(),
    deadlineMs: z.number(),
  }),
  /** Another submission arrived under the same key; it is answered from the record of the first. */
  z.object({ kind: z.literal('resubmitted'), ...timeShape }),
  z.object({ kind: z.literal('refused'), ...timeShape, problem: problemSchema }),
  z.object({ kind: z.literal('started'), ...timeShape, jobId: z.string() }),
  z.object({ kind: z.literal('task-sent'), ...attemptShape }),
  z.object({ kind: z.literal('task-done'), ...attemptShape, elapsedMs: z.number() }),
  z.object({ kind: z.literal('task-failed'), ...attemptShape, detail: z.string() }),
  z.object({ kind: z.literal('task-not-started'), ...attemptShape, reason: z.string() }),
  z.object({ kind: z.literal('task-unknown'), ...attemptShape, reason: z.string() }),
  z.object({ kind: z.literal('answered'), ...timeShape }),
  z.object({ kind: z.literal('failed'), ...timeShape, problem: problemSchema }),
]);
export type TraceEvent = z.infer<typeof traceEventSchema>;

/** The events of one job at one daemon. */
export const jobTraceSchema = z.object({
  /** Null where this daemon only ran tasks for a peer, or ran a lookup. */
  callerId: z.string().nullable(),
  key: z.string().nullable(),
  /** Null for a submission that was refused. */
  jobId: z.string().nullable(),
  events: z.array(traceEventSchema),
});
export type JobTrace = z.infer<typeof jobTraceSchema>;
