/**
 * Schemas of the configuration that operators publish, of its versioned records and of the stream that
 * carries them.
 */
import { z } from 'zod';
import { callerClassSchema, inventorySchema, nameSchema } from './inventory.js';

/** What placement optimizes for: short response times, or few wasted messages. */
export const objectiveSchema = z.enum(['response-time', 'messages']);
export type Objective = z.infer<typeof objectiveSchema>;

/** Limits of one team, over all daemons together. */
export const quotaSchema = z.strictObject({
  teamId: nameSchema,
  /** Tasks that may start per second. */
  startsPerS: z.number().positive(),
  /** Tasks that may run at the same time. */
  slots: z.number().int().positive(),
});
export type Quota = z.infer<typeof quotaSchema>;

export const serviceLevelObjectiveSchema = z.strictObject({
  class: callerClassSchema,
  /** Share of jobs that must be answered completely and in time, between 0 and 1. */
  target: z.number().gt(0).lt(1),
  /** Largest ratio of the response time to the ideal one that counts as in time. */
  maxResponseOverIdeal: z.number().min(1),
});
export type ServiceLevelObjective = z.infer<typeof serviceLevelObjectiveSchema>;

export const rulesSchema = z.strictObject({
  objective: objectiveSchema,
  quotas: z.array(quotaSchema).max(4096).default([]),
  /** Largest share of the slots that tasks of trial callers may use, between 0 and 1. */
  trialSlotShare: z.number().gt(0).lte(1),
  /** Longest estimated queueing delay at which a submission is still admitted. */
  maxQueueMs: z.number().int().positive(),
  /** Longest deadline that a submission may set. */
  maxDeadlineMs: z.number().int().positive(),
  /** Time for which a finished submission is remembered, so that a resubmission gets its answer. */
  resubmissionWindowMs: z.number().int().positive(),
  /** Retries and hedged attempts allowed per first attempt, between 0 and 1. */
  retryShare: z.number().gte(0).lte(1).default(0.1),
  /** Accepted in files, but not read by the daemon. */
  copyAnswers: z.boolean().default(false),
  serviceLevelObjectives: z.array(serviceLevelObjectiveSchema).max(2).default([]),
});
export type Rules = z.infer<typeof rulesSchema>;

/** The content of one configuration, as operators write it in a file. */
export const configurationSchema = z.strictObject({
  inventory: inventorySchema,
  rules: rulesSchema,
});
export type Configuration = z.infer<typeof configurationSchema>;

/** One version of the configuration, as it was published. */
export const configurationRecordSchema = z.strictObject({
  version: z.number().int().positive(),
  /** Version that the operator edited; 0 where there was none. */
  baseVersion: z.number().int().nonnegative(),
  /** Distinguishes this publication from others of the same version. */
  publicationId: z.string().min(1).max(64),
  /** Name of the operator. */
  publishedBy: z.string().max(128),
  configuration: configurationSchema,
});
export type ConfigurationRecord = z.infer<typeof configurationRecordSchema>;

const offsetSchema = z.number().int().nonnegative();

/**
 * One entry of the configuration stream.
 *
 * - `publication`: an operator's record. It takes effect if the version in force before the entry is
 *   its base version.
 * - `checkpoint`: a daemon's copy of the record that is in force after all entries before `upToOffset`.
 *   Readers start from it once older entries are dropped.
 * - `reset`: an operator's record that takes effect whatever its base version, as long as it raises
 *   the version. It is for streams whose version in force can no longer be determined.
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

/** A record in force, as one daemon sends it to another. */
export const configurationCheckpointSchema = z.object({
  record: configurationRecordSchema,
  /** The record is in force after all entries of the stream before this offset; omitted if unknown. */
  upToOffset: offsetSchema.optional(),
});
export type ConfigurationCheckpoint = z.infer<typeof configurationCheckpointSchema>;
