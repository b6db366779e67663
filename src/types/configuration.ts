/**
 * Schemas of the rules and of the versioned record that carries inventory and rules.
 */
import { z } from 'zod';
import { callerClassSchema, inventorySchema, nameSchema } from './inventory.js';

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

/** One version of the configuration. */
export const configurationRecordSchema = z.strictObject({
  version: z.number().int().positive(),
  baseVersion: z.number().int().nonnegative(),
  /** Tells this publication from any other one of the same version. */
  publicationId: z.string().min(1).max(64),
  publishedBy: z.string().max(128),
  configuration: configurationSchema,
});
export type ConfigurationRecord = z.infer<typeof configurationRecordSchema>;

const offsetSchema = z.number().int().nonnegative();

/**
 * One entry of the configuration stream.
 *
 * - `publication`: an operator's record; it counts if it names the version then in force as its base.
 * - `checkpoint`: a daemon's word that the record was in force before `upToOffset`, so that readers
 *   can start there once older entries are dropped.
 * - `reset`: an operator's new start where no checkpoint and no daemon knows the version in force.
 */
export const configurationEntrySchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('publication'), record: configurationRecordSchema }),
  z.strictObject({
    kind: z.literal('checkpoint'),
    upToOffset: offsetSchema,
    record: configurationRecordSchema,
  }),
  z.strictObject({ kind: z.literal('reset'), record: configurationRecordSchema }),
]);
export type ConfigurationEntry = z.infer<typeof configurationEntrySchema>;

/** The record in force and, where known, the offset before which the stream is decided. */
export const configurationCheckpointSchema = z.object({
  record: configurationRecordSchema,
  upToOffset: offsetSchema.optional(),
});
export type ConfigurationCheckpoint = z.infer<typeof configurationCheckpointSchema>;
