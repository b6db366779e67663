/**
 * Schemas of the rules and of the versioned record that carries inventory and rules.
 */
import { z } from 'zod';
import { callerClassSchema, inventorySchema, nameSchema } from '../inventory/types.js';

/** What a deployment weighs more: response time, or wasted messages. */
export const objectiveSchema = z.enum(['response-time', 'messages']);
export type Objective = z.infer<typeof objectiveSchema>;

export const quotaSchema = z.strictObject({
  teamId: nameSchema,
  startsPerS: z.number().positive(),
  slots: z.number().int().positive(),
});
export type Quota = z.infer<typeof quotaSchema>;

export const serviceLevelObjectiveSchema = z.strictObject({
  class: callerClassSchema,
  /** Share of jobs that must be answered whole and in time, between 0 and 1. */
  target: z.number().gt(0).lt(1),
  /** Response time over the ideal that still counts as in time. */
  maxResponseOverIdeal: z.number().min(1),
});
export type ServiceLevelObjective = z.infer<typeof serviceLevelObjectiveSchema>;

export const rulesSchema = z.strictObject({
  objective: objectiveSchema,
  quotas: z.array(quotaSchema).max(4096).default([]),
  /** Largest share of the slots that trial work takes, between 0 and 1. */
  trialSlotShare: z.number().gt(0).lte(1),
  maxQueueMs: z.number().int().positive(),
  maxDeadlineMs: z.number().int().positive(),
  resubmissionWindowMs: z.number().int().positive(),
  /** Retries and hedges allowed per first try, between 0 and 1. */
  retryShare: z.number().gte(0).lte(1).default(0.1),
  copyAnswers: z.boolean().default(false),
  serviceLevelObjectives: z.array(serviceLevelObjectiveSchema).max(2).default([]),
});
export type Rules = z.infer<typeof rulesSchema>;

/** What operators write: the content of one configuration. */
export const configurationSchema = z.strictObject({
  inventory: inventorySchema,
  rules: rulesSchema,
});
export type Configuration = z.infer<typeof configurationSchema>;

/** The record on the log: a configuration with its version and the version that it replaces. */
export const configurationRecordSchema = z.strictObject({
  version: z.number().int().positive(),
  baseVersion: z.number().int().nonnegative(),
  publishedBy: z.string().max(128),
  configuration: configurationSchema,
});
export type ConfigurationRecord = z.infer<typeof configurationRecordSchema>;
