/**
 * Submissions with numbered inputs, so that the answers and the starts of each can be told apart.
 */
import type { CallerOutcome } from '../../src/adapters/callerHttp/callerHttpClient.js';
import type { Operation } from '../../src/types/inventory.js';
import type { Submission } from '../../src/types/jobs.js';
import type { Random } from '../../src/ports/random.js';

const roundTripMs = 1;

/** What a new submission is made of. */
export interface SubmissionRecipe {
  readonly random: Random;
  readonly operations: readonly Operation[];
  readonly taskCount: number;
  readonly deadlineMs: number;
}

/**
 * Creates a submission of random operations.
 *
 * @param recipe - its size, its operations and its deadline
 */
export const createSubmission = (recipe: SubmissionRecipe): Submission => ({
  deadlineMs: recipe.deadlineMs,
  tasks: Array.from({ length: recipe.taskCount }, () => ({
    operation: chooseOne(recipe.random, recipe.operations).operationId,
    input: { number: recipe.random.id() },
  })),
});

/**
 * Chooses one item, each as likely as the others.
 *
 * @param random - where the choice comes from
 * @param items - at least one item
 */
export const chooseOne = <T>(random: Random, items: readonly T[]): T => {
  const item = items[Math.floor(random.next() * items.length)];
  if (item === undefined) {
    throw new Error('There is nothing to choose from.');
  }
  return item;
};

/**
 * Computes the ideal response time: a round trip and the longest task on an idle, fastest endpoint.
 *
 * @param submission - the submission
 * @param operations - the declared operations, whose run times hold on an endpoint of speed 1
 * @param topSpeed - speed of the fastest endpoint
 * @returns the time in milliseconds
 */
export const computeIdealMs = (
  submission: Submission,
  operations: readonly Operation[],
  topSpeed: number,
): number => {
  const runTimesMs = new Map(operations.map((o) => [o.operationId, o.declaredRunTimeMs]));
  const tasksMs = submission.tasks.map(({ operation }) => runTimesMs.get(operation) ?? 0);
  return roundTripMs + Math.max(...tasksMs) / topSpeed;
};

/** Tells whether an answer belongs to its submission; the endpoints echo the numbered inputs. */
export const isOwnAnswer = (outcome: CallerOutcome, submission: Submission): boolean =>
  outcome.kind !== 'complete' ||
  JSON.stringify(outcome.results) ===
    JSON.stringify(submission.tasks.map(({ operation, input }) => ({ operation, input })));
