/**
 * Random submissions with a unique input for each task, so that every answer and every start can be
 * traced to its task.
 */
import type { CallerOutcome } from '../../src/adapters/callerHttp/callerHttpClient.js';
import type { Operation } from '../../src/types/inventory.js';
import type { Submission } from '../../src/types/jobs.js';
import type { Random } from '../../src/ports/random.js';

/** Network round trip between caller and daemon that the ideal response time includes. */
const roundTripMs = 1;

/** Size, operations and deadline of a new submission. */
export interface SubmissionOptions {
  readonly random: Random;
  /** Operations to choose from. */
  readonly operations: readonly Operation[];
  readonly taskCount: number;
  readonly deadlineMs: number;
}

/**
 * Creates a submission whose tasks have randomly chosen operations.
 */
export const createSubmission = (options: SubmissionOptions): Submission => ({
  deadlineMs: options.deadlineMs,
  tasks: Array.from({ length: options.taskCount }, () => ({
    operation: chooseOne(options.random, options.operations).operationId,
    input: { number: options.random.id() },
  })),
});

/**
 * Chooses an item at random, each with the same probability.
 *
 * @param items - at least one item; throws if there is none
 */
export const chooseOne = <T>(random: Random, items: readonly T[]): T => {
  const item = items[Math.floor(random.next() * items.length)];
  if (item === undefined) {
    throw new Error('Cannot choose from an empty list.');
  }
  return item;
};

/**
 * Computes the ideal response time: a round trip plus the run time of the longest task, on an idle
 * endpoint of the highest speed.
 *
 * @param operations - the declared operations; their run times apply to an endpoint of speed 1
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

/**
 * Returns whether a complete answer has the results of this submission, which are its operations and
 * inputs: the endpoint stand-ins echo them. True for all other outcomes.
 */
export const matchesSubmission = (outcome: CallerOutcome, submission: Submission): boolean =>
  outcome.kind !== 'complete' ||
  JSON.stringify(outcome.results) ===
    JSON.stringify(submission.tasks.map(({ operation, input }) => ({ operation, input })));
