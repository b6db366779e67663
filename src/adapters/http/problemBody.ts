/**
 * Body of every error response: problem details (RFC 9457) with extension members.
 */
import { z } from 'zod';
import { errorAnswers, retryAdviceSchema } from '../../errors/errorKinds.js';
import { problemSchema } from '../../errors/problem.js';
import type { Problem } from '../../errors/problem.js';
import { taskStateSchema } from '../../types/jobs.js';
import type { TaskState } from '../../types/jobs.js';

export const problemBodySchema = problemSchema.extend({
  type: z.string(),
  title: z.string(),
  status: z.number().int(),
  retry: retryAdviceSchema,
  /** State of each task, for a job that failed. */
  taskStates: z.array(taskStateSchema).optional(),
});
export type ProblemBody = z.infer<typeof problemBodySchema>;

/**
 * Builds the body of an error response.
 *
 * @param problem - the problem
 * @param taskStates - state of each task, for a job that failed
 */
export const createProblemBody = (
  problem: Problem,
  taskStates?: readonly TaskState[],
): ProblemBody => {
  const { httpStatus, title, retry } = errorAnswers[problem.kind];
  const { kind, detail, ...rest } = problem;
  const type = `urn:toucandyke:problem:${kind}`;
  const states = taskStates === undefined ? {} : { taskStates: [...taskStates] };
  return { type, title, status: httpStatus, detail, kind, retry, ...rest, ...states };
};
