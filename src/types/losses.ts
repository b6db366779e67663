/**
 * Schemas of the workers that were lost under a task, as batches, returned tasks and heartbeats state them.
 */
import { z } from 'zod';

/**
 * What is known of a loss; it only rises, in this order. `awaited`: the worker is silent, and its answer may tell more soon.
 * `unclear`: it may have crashed under the task. `likely`: it likely has. `none`: it has answered in the lifetime of the
 * run, so that it has not crashed.
 */
export const lossStatusSchema = z.enum(['awaited', 'unclear', 'likely', 'none']);
export type LossStatus = z.infer<typeof lossStatusSchema>;

/** The loss of a worker under one run of a task. */
export const taskLossSchema = z.object({
  /** Identifies the run among all of its task, also of those that other daemons start. */
  id: z.string(),
  status: lossStatusSchema,
});
export type TaskLoss = z.infer<typeof taskLossSchema>;

/** The losses of a task; earlier versions count them and omit the rest. */
export const statedLossesSchema = z.object({
  /** Workers that were silent or crashed while they ran it. */
  lostWorkers: z.number().int().nonnegative(),
  /** Those that an earlier version took as proved to have crashed, and counts here alone; it is not sent any more. */
  crashedWorkers: z.number().int().nonnegative().optional(),
  /** Those that have likely crashed under it, and those that may have, the likely ones included. */
  likelyCrashes: z.number().int().nonnegative().optional(),
  unclearLosses: z.number().int().nonnegative().optional(),
  /** Each loss that is known, if there are any. */
  losses: z.array(taskLossSchema).optional(),
});
export type StatedLosses = z.infer<typeof statedLossesSchema>;
