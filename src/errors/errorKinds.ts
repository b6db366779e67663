/**
 * All error kinds, and the HTTP response and retry advice that belong to each.
 */
import { z } from 'zod';

export const errorKindSchema = z.enum([
  'invalid-request',
  'unauthorized',
  'not-found',
  'too-large',
  'key-conflict',
  'epoch-closed',
  'unknown-operation',
  'no-fitting-endpoint',
  'deadline-too-short',
  'over-quota',
  'overloaded',
  'stopping',
  'cancelled',
  'unavailable',
  'deadline-exceeded',
  'task-failed',
  'outcome-unknown',
  'internal',
]);
export type ErrorKind = z.infer<typeof errorKindSchema>;

/** What is known about the tasks of a request that ended in an error. */
export const runStateSchema = z.enum(['not-run', 'outcome-unknown', 'failed']);
export type RunState = z.infer<typeof runStateSchema>;

/** Whether a caller may retry after an error, and with which submission key. */
export const retryAdviceSchema = z.enum(['never', 'same-key', 'new-key', 'after-correction']);
export type RetryAdvice = z.infer<typeof retryAdviceSchema>;

/** The response for one error kind; a problem may override the run state. */
export interface ErrorAnswer {
  readonly httpStatus: number;
  readonly title: string;
  readonly runState: RunState;
  readonly retry: RetryAdvice;
}

export const errorAnswers: Readonly<Record<ErrorKind, ErrorAnswer>> = {
  'invalid-request': answer(400, 'The request is not valid', 'not-run', 'after-correction'),
  unauthorized: answer(401, 'The bearer token is not valid', 'outcome-unknown', 'after-correction'),
  'not-found': answer(404, 'No such job', 'outcome-unknown', 'never'),
  'too-large': answer(413, 'The request is too large', 'not-run', 'after-correction'),
  'key-conflict': answer(409, 'The key belongs to another submission', 'outcome-unknown', 'never'),
  'epoch-closed': answer(409, 'The owner of the key starts nothing more', 'not-run', 'new-key'),
  'unknown-operation': answer(422, 'The operation is not declared', 'not-run', 'after-correction'),
  'no-fitting-endpoint': answer(422, 'No endpoint fits the work', 'not-run', 'after-correction'),
  'deadline-too-short': answer(503, 'The deadline cannot be met', 'not-run', 'new-key'),
  'over-quota': answer(429, 'The quota of the team is used up', 'not-run', 'new-key'),
  overloaded: answer(503, 'The system is overloaded', 'not-run', 'new-key'),
  stopping: answer(503, 'The daemon is stopping', 'not-run', 'new-key'),
  cancelled: answer(409, 'The job was cancelled', 'outcome-unknown', 'never'),
  unavailable: answer(503, 'The platform cannot be reached', 'outcome-unknown', 'same-key'),
  'deadline-exceeded': answer(504, 'The deadline has passed', 'outcome-unknown', 'never'),
  'task-failed': answer(422, 'A task failed', 'failed', 'never'),
  'outcome-unknown': answer(504, 'The outcome is not known', 'outcome-unknown', 'same-key'),
  internal: answer(500, 'Internal error', 'outcome-unknown', 'same-key'),
};

function answer(
  httpStatus: number,
  title: string,
  runState: RunState,
  retry: RetryAdvice,
): ErrorAnswer {
  return { httpStatus, title, runState, retry };
}
