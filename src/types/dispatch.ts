/**
 * Schemas of the batches of tasks that one daemon requests from another one, which dispatches them to
 * its workers.
 */
import { z } from 'zod';
import { memberLoadSchema } from './fleet.js';
import { statedLossesSchema } from './losses.js';
import { resourcesSchema } from './resources.js';

/** What each task of a step requires of its worker. */
export const placementNeedsSchema = z.object({
  resources: resourcesSchema,
  /** Label that the worker must have. */
  requiredLabel: z.string().optional(),
  /** Rack that has the task's data; on workers of other racks the task runs longer. */
  preferredRack: z.string().optional(),
  /** Largest number of the step's tasks that may run on one worker at the same time. */
  maxPerWorker: z.number().int().positive().optional(),
});
export type PlacementNeeds = z.infer<typeof placementNeedsSchema>;

export const batchTaskSchema = statedLossesSchema.extend({
  /** Position of the task in its step, from 0. */
  index: z.number().int().nonnegative(),
  /** Number of the task's next run. */
  nextRun: z.number().int().positive(),
  /** Runs that have failed so far. */
  failedRuns: z.number().int().nonnegative(),
  /** Workers that were silent or crashed while they ran the task; earlier versions omit it. */
  lostWorkers: z.number().int().nonnegative().default(0),
});
export type BatchTask = z.infer<typeof batchTaskSchema>;

/** Tasks of one step that one dispatcher runs. */
export const batchSchema = z.object({
  batchId: z.string(),
  jobId: z.string(),
  stepIndex: z.number().int().nonnegative(),
  serviceId: z.string(),
  /** Task specification of the job, which is passed to the workers unread. */
  spec: z.string(),
  needs: placementNeedsSchema,
  /** Expected run time of a task on a typical worker. */
  estimatedMs: z.number().positive(),
  /** Time until the tasks should have ended, in milliseconds. */
  objectiveInMs: z.number(),
  /** Time until the job's answer is useless to its caller, in milliseconds. */
  giveUpInMs: z.number(),
  /**
   * Time until the tasks must have ended, in milliseconds, as long as no worker was asked to start one
   * of them. After that, `giveUpInMs` applies.
   */
  expiresInMs: z.number(),
  /**
   * Time by which no run of the tasks goes on, in milliseconds: after that, the caller may have sent the job again.
   * Earlier versions omit it.
   */
  runsEndInMs: z.number().optional(),
  /** A task whose wait for free capacity is expected to be longer is returned at once. */
  maxWaitMs: z.number().nonnegative(),
  /**
   * Priority of the route; 0 is the most urgent. It decides the order only with the scheduling policy `priority`, among the
   * routes of one service that have different priorities.
   */
  priority: z.number().int(),
  /** Failed runs of a task after which the task has failed. */
  maxFailedRuns: z.number().int().positive(),
  tasks: z.array(batchTaskSchema).min(1),
});
export type Batch = z.infer<typeof batchSchema>;

/** How a task of a batch ended at the dispatcher. */
export const taskEndSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('done'),
    index: z.number().int(),
    /** Run time divided by the slowdown factor of the worker, in milliseconds. */
    lengthMs: z.number().nonnegative(),
  }),
  /** Its runs have failed as often as its route allows; nothing else makes a task fail. */
  z.object({ kind: z.literal('failed'), index: z.number().int(), reason: z.string() }),
  /** Certainly runs nowhere, so another dispatcher may run it. */
  z.object({ kind: z.literal('returned'), task: batchTaskSchema, reason: z.string() }),
  /** Can no longer end in time. */
  z.object({ kind: z.literal('expired'), index: z.number().int() }),
  /**
   * The requester withdrew the batch, since its job has ended, or the dispatcher ends and a run of the task may
   * go on, or the task may have crashed too many workers, or a worker rejected its order as not valid. It must not
   * start again.
   */
  z.object({
    kind: z.literal('withdrawn'),
    index: z.number().int(),
    /** Why the dispatcher withdrew it, if there is more to say; earlier versions omit it. */
    reason: z.string().optional(),
  }),
]);
export type TaskEnd = z.infer<typeof taskEndSchema>;

/** The answer to a batch: sent once all of its tasks have ended, or at once if some are returned. */
export const batchReplySchema = z.object({
  /** Whether tasks are still open; the requester then sends the batch again for the other ends. */
  isPartial: z.boolean(),
  ends: z.array(taskEndSchema),
  /** Whether any worker was asked to start one of the tasks. */
  wasOffered: z.boolean(),
  /** Load of the workers to which tasks were assigned; of all workers where tasks are returned. */
  load: memberLoadSchema,
});
export type BatchReply = z.infer<typeof batchReplySchema>;
