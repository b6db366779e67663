/**
 * Remembers for a round of decisions which operations can run.
 */
import type { Operation } from '../types/inventory.js';
import type { IsRunnable } from './types.js';

/** Calls a predicate at most once for each operation. */
export const memoizeAnswers = (canRun: IsRunnable): IsRunnable => {
  const answers = new Map<Operation, boolean>();
  return (operation) => {
    const known = answers.get(operation);
    if (known !== undefined) {
      return known;
    }
    const answer = canRun(operation);
    answers.set(operation, answer);
    return answer;
  };
};
