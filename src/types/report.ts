/**
 * Schemas of the sums that the report on service-level burn is made from.
 */
import { z } from 'zod';
import { errorKindSchema } from '../errors/errorKinds.js';
import { callerClassSchema } from './inventory.js';

/** Why a job counts as bad: it failed, or its whole answer came late. */
export const badCauseSchema = z.union([errorKindSchema, z.literal('late')]);
export type BadCause = z.infer<typeof badCauseSchema>;

export const causeCountSchema = z.object({
  cause: badCauseSchema,
  count: z.number().int().positive(),
});
export type CauseCount = z.infer<typeof causeCountSchema>;

/** The jobs of one class in one minute. */
export const classSumSchema = z.object({
  class: callerClassSchema,
  total: z.number().int().nonnegative(),
  bad: z.array(causeCountSchema).max(32),
});
export type ClassSum = z.infer<typeof classSumSchema>;

/** What one daemon process counted in one minute; written for idle minutes too. */
export const minuteSumSchema = z.object({
  vmId: z.string().max(64),
  incarnation: z.string().max(32),
  /** Minutes since the epoch, by the wall clock. */
  minute: z.number().int().nonnegative(),
  classes: z.array(classSumSchema).max(2),
});
export type MinuteSum = z.infer<typeof minuteSumSchema>;
