/**
 * Schemas of submissions, of their tasks and of the answers to them.
 */
import { z } from 'zod';
import { problemSchema } from '../errors/problem.js';
import { nameSchema } from './inventory.js';

export const maxTasksPerJob = 230;

export const taskSpecSchema = z.strictObject({
  operation: nameSchema,
  /** Input of the operation; any JSON value. */
  input: z.unknown(),
});
export type TaskSpec = z.infer<typeof taskSpecSchema>;

export const submissionSchema = z.strictObject({
  tasks: z.array(taskSpecSchema).min(1).max(maxTasksPerJob),
  /** Time from arrival until the caller needs the answer, in milliseconds. */
  deadlineMs: z.number().int().positive().max(600_000),
});
export type Submission = z.infer<typeof submissionSchema>;

/** What is known of one task of a failed job. */
export const taskStateSchema = z.enum(['done', 'failed', 'not-run', 'outcome-unknown']);
export type TaskState = z.infer<typeof taskStateSchema>;

/** A job's answer: the results of all tasks, or one problem with the state of every task. */
export const jobAnswerSchema = z.discriminatedUnion('status', [
  z.object({ status: z.literal('complete'), results: z.array(z.unknown()) }),
  z.object({
    status: z.literal('failed'),
    problem: problemSchema,
    taskStates: z.array(taskStateSchema),
  }),
]);
export type JobAnswer = z.infer<typeof jobAnswerSchema>;
export type FailedAnswer = Extract<JobAnswer, { status: 'failed' }>;

/** How one task ended, as far as its dispatcher knows. */
export const taskOutcomeSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('done'), result: z.unknown() }),
  z.object({ kind: z.literal('failed'), detail: z.string() }),
  z.object({ kind: z.literal('not-run'), problem: problemSchema }),
  z.object({ kind: z.literal('outcome-unknown'), problem: problemSchema }),
]);
export type TaskOutcome = z.infer<typeof taskOutcomeSchema>;
