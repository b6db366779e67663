/**
 * Checks whether a new submission can be taken at all.
 */
import { createProblem } from '../errors/problem.js';
import type { Problem } from '../errors/problem.js';
import type { ActiveConfiguration } from '../configuration/configurationStore.js';
import type { Submission } from '../jobs/types.js';

/**
 * Checks a submission against the configuration in force.
 *
 * @param submission - the submission
 * @param active - the configuration in force
 * @returns why it is refused, or nothing
 */
export const checkSubmission = (
  submission: Submission,
  active: ActiveConfiguration,
): Problem | undefined => {
  if (submission.deadlineMs > active.rules.maxDeadlineMs) {
    const detail = `The deadline must be at most ${active.rules.maxDeadlineMs} ms.`;
    return createProblem('invalid-request', detail, { where: 'deadlineMs' });
  }
  for (const [index, task] of submission.tasks.entries()) {
    const problem = checkTask(task.operation, `tasks[${index}].operation`, active);
    if (problem !== undefined) {
      return problem;
    }
  }
  return undefined;
};

const checkTask = (
  operationId: string,
  where: string,
  { inventory }: ActiveConfiguration,
): Problem | undefined => {
  const operation = inventory.operations.get(operationId);
  if (operation === undefined) {
    return createProblem('unknown-operation', `Operation ${operationId} is not declared.`, {
      where,
    });
  }
  if (!inventory.fitsSomewhere(operation)) {
    return createProblem('no-fitting-endpoint', `No endpoint can run ${operationId}.`, { where });
  }
  return undefined;
};
