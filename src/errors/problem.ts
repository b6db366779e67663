/**
 * The error value that travels through the decisions and becomes RFC 9457 problem details.
 */
import { z } from 'zod';
import { errorAnswers, errorKindSchema, runStateSchema } from './errorKinds.js';
import type { ErrorKind, RunState } from './errorKinds.js';

export const problemSchema = z.object({
  kind: errorKindSchema,
  detail: z.string(),
  /** JSON path of the fault in the request, such as `tasks[3].operation`. */
  where: z.string().optional(),
  runState: runStateSchema,
  /** Time to wait before the next try, in milliseconds. */
  retryAfterMs: z.number().int().nonnegative().optional(),
});
export type Problem = z.infer<typeof problemSchema>;

/** Optional parts of a problem. */
export interface ProblemOptions {
  readonly where?: string;
  readonly runState?: RunState;
  readonly retryAfterMs?: number;
}

/**
 * Creates a problem; the run state comes from the table unless it is known better.
 *
 * @param kind - the error kind
 * @param detail - one sentence for the caller
 * @param options - place of the fault, known run state, time to wait
 * @returns the problem
 */
export const createProblem = (
  kind: ErrorKind,
  detail: string,
  options: ProblemOptions = {},
): Problem => ({
  kind,
  detail,
  ...options,
  runState: options.runState ?? errorAnswers[kind].runState,
});
