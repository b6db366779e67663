/**
 * Turns the faults that a schema finds into problems and readable paths.
 */
import type { z } from 'zod';
import { createProblem } from './problem.js';
import type { Problem } from './problem.js';

/**
 * Writes a path of keys and indexes, such as `tasks[3].operation`.
 *
 * @param path - keys and indexes from the root
 * @returns the path, or an empty string for the root
 */
export const formatPath = (path: readonly PropertyKey[]): string =>
  path
    .map((part) => (typeof part === 'number' ? `[${part}]` : `.${String(part)}`))
    .join('')
    .replace(/^\./, '');

/**
 * Describes the first fault of a schema as an `invalid-request` problem.
 *
 * @param error - the faults that the schema found
 * @returns the problem, with the place of the first fault
 */
export const problemFromZod = (error: z.ZodError): Problem => {
  const issue = error.issues[0];
  if (issue === undefined) {
    return createProblem('invalid-request', 'The request does not match its schema.');
  }
  return createProblem('invalid-request', issue.message, { where: formatPath(issue.path) });
};
