/**
 * Schemas of the counts of good and bad jobs from which error-budget burn rates are computed.
 */
import { z } from 'zod';
import { errorKindSchema } from '../errors/errorKinds.js';
import { callerClassSchema } from './inventory.js';

/** Why a job counts against its service-level objective: it failed, or it completed late. */
export const badCauseSchema = z.union([errorKindSchema, z.literal('late')]);
export type BadCause = z.infer<typeof badCauseSchema>;

export const causeCountSchema = z.object({
  cause: badCauseSchema,
  count: z.number().int().positive(),
});
export type CauseCount = z.infer<typeof causeCountSchema>;

/** Counts of the jobs of one caller class that were answered or refused in one minute. */
export const classSumSchema = z.object({
  class: callerClassSchema,
  total: z.number().int().nonnegative(),
  /** Jobs that count against the objective, by cause. */
  bad: z.array(causeCountSchema).max(32),
});
export type ClassSum = z.infer<typeof classSumSchema>;

/** Counts of one daemon process for one minute; idle minutes have a record too. */
export const minuteSumSchema = z.object({
  vmId: z.string().max(64),
  incarnation: z.string().max(32),
  /** Wall-clock time in minutes since the epoch. */
  minute: z.number().int().nonnegative(),
  classes: z.array(classSumSchema).max(2),
});
export type MinuteSum = z.infer<typeof minuteSumSchema>;
