/**
 * Schemas of the batches of tasks that one daemon asks the dispatcher of some workers to run.
 */
import { z } from 'zod';
import { memberLoadSchema } from './fleet.js';
import { resourcesSchema } from './resources.js';

/** What each task of a step asks of its worker. */
export const placementNeedsSchema = z.object({
  resources: resourcesSchema,
  /** Label that the worker must have. */
  requiredLabel: z.string().optional(),
  /** Rack that has the data; elsewhere the task takes longer. */
  preferredRack: z.string().optional(),
  /** Tasks of the step that may run on one worker at the most. */
  maxPerWorker: z.number().int().positive().optional(),
});
export type PlacementNeeds = z.infer<typeof placementNeedsSchema>;

export const batchTaskSchema = z.object({
  /** Place of the task in its step. */
  index: z.number().int().nonnegative(),
  /** Number that the next run of the task gets. */
  nextRun: z.number().int().positive(),
  /** Runs that have failed so far. */
  failedRuns: z.number().int().nonnegative(),
});
export type BatchTask = z.infer<typeof batchTaskSchema>;

/** Tasks of one step for one dispatcher. */
export const batchSchema = z.object({
  batchId: z.string(),
  jobId: z.string(),
  stepIndex: z.number().int().nonnegative(),
  serviceId: z.string(),
  spec: z.string(),
  needs: placementNeedsSchema,
  /** Expected run time of a task on a typical worker. */
  estimatedMs: z.number().positive(),
  /** Time until the tasks should have ended, in milliseconds. */
  objectiveInMs: z.number(),
  /** Time until the answer is worth nothing, in milliseconds. */
  giveUpInMs: z.number(),
  /** Time until the tasks must have ended if nothing of their job was offered, in milliseconds. */
  expiresInMs: z.number(),
  /** A task that would wait longer for room comes back at once, in milliseconds. */
  maxWaitMs: z.number().nonnegative(),
  priority: z.number().int(),
  maxFailedRuns: z.number().int().positive(),
  tasks: z.array(batchTaskSchema).min(1),
});
export type Batch = z.infer<typeof batchSchema>;

/** How a task of a batch ended. */
export const taskEndSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('done'),
    index: z.number().int(),
    /** Its run time over the slowness of its worker, in milliseconds. */
    lengthMs: z.number().nonnegative(),
  }),
  /** Failed as often as its route allows, or the worker finds the order not valid. */
  z.object({ kind: z.literal('failed'), index: z.number().int(), reason: z.string() }),
  /** Runs nowhere; another dispatcher may take it. */
  z.object({ kind: z.literal('returned'), task: batchTaskSchema, reason: z.string() }),
  /** Can no longer end in time. */
  z.object({ kind: z.literal('expired'), index: z.number().int() }),
  /** Its job has ended. */
  z.object({ kind: z.literal('withdrawn'), index: z.number().int() }),
]);
export type TaskEnd = z.infer<typeof taskEndSchema>;

/** The answer to a batch, when each of its tasks has ended, or at once if some came back. */
export const batchEndSchema = z.object({
  /** Whether tasks are left; the batch is then sent again, for the answer to all of them. */
  isPartial: z.boolean(),
  ends: z.array(taskEndSchema),
  /** Whether any worker was asked to start one of its tasks. */
  wasOffered: z.boolean(),
  load: memberLoadSchema,
});
export type BatchEnd = z.infer<typeof batchEndSchema>;
