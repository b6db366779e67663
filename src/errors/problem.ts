/**
 * The error value that functions return, which front ends encode as RFC 9457 problem details.
 */
import { z } from 'zod';
import { errorAnswers, errorKindSchema, runStateSchema } from './errorKinds.js';
import type { ErrorKind, RunState } from './errorKinds.js';

export const problemSchema = z.object({
  kind: errorKindSchema,
  detail: z.string(),
  /** JSON path of the invalid part of the request, such as `tasks[3].operation`. */
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
 * Creates a problem. The run state is that of the error kind unless the options state another.
 *
 * @param kind - the error kind
 * @param detail - one sentence for the caller
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
