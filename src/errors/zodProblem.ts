/**
 * Converts the errors of schemas into problems, and their paths into text.
 */
import type { z } from 'zod';
import { createProblem } from './problem.js';
import type { Problem } from './problem.js';

/**
 * Formats a path of keys and indexes, such as `tasks[3].operation`.
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
 * Converts the first issue of a schema error into an `invalid-request` problem.
 */
export const problemFromZod = (error: z.ZodError): Problem => {
  const issue = error.issues[0];
  if (issue === undefined) {
    return createProblem('invalid-request', 'The request does not match its schema.');
  }
  return createProblem('invalid-request', issue.message, { where: formatPath(issue.path) });
};
