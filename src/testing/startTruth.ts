/**
 * Holds outcomes against the starts that the endpoints counted.
 */
import type { TaskState } from '../types/jobs.js';
import type { SubmitOutcome } from '../ports/peers.js';
import type { FakeEndpoints } from './fakeEndpoints.js';

/** Finds inputs that started more than once. */
export const findDoubleStarts = (endpoints: FakeEndpoints, inputs: readonly unknown[]): unknown[] =>
  inputs.filter((input) => endpoints.startsOf(input) > 1);

/** Finds inputs that an outcome calls `not-run` although they started. */
export const findFalseNotRun = (
  endpoints: FakeEndpoints,
  inputs: readonly unknown[],
  outcome: SubmitOutcome,
): unknown[] => inputs.filter((input, i) => isNotRun(outcome, i) && endpoints.startsOf(input) > 0);

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
