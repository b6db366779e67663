/**
 * Checks of the at-most-once guarantee: compares outcomes with the starts that the endpoints recorded.
 */
import type { TaskState } from '../types/jobs.js';
import type { SubmitOutcome } from '../ports/peers.js';
import type { FakeEndpoints } from './fakeEndpoints.js';

/** @returns inputs whose tasks started more than once */
export const findDoubleStarts = (endpoints: FakeEndpoints, inputs: readonly unknown[]): unknown[] =>
  inputs.filter((input) => endpoints.countStarts(input) > 1);

/**
 * @param inputs - the inputs of the submission, in order
 * @returns inputs that the outcome reports as `not-run` although their tasks started
 */
export const findFalseNotRun = (
  endpoints: FakeEndpoints,
  inputs: readonly unknown[],
  outcome: SubmitOutcome,
): unknown[] =>
  inputs.filter((input, i) => isNotRun(outcome, i) && endpoints.countStarts(input) > 0);

const isNotRun = (outcome: SubmitOutcome, index: number): boolean => {
  if (outcome.kind === 'refused') {
    return outcome.problem.runState === 'not-run';
  }
  const { answer } = outcome;
  const state: TaskState | undefined =
    answer.status === 'failed' ? answer.taskStates[index] : undefined;
  return (
    state === 'not-run' || (answer.status === 'failed' && answer.problem.runState === 'not-run')
  );
};
