/**
 * A seeded sample of a walk over pairs, for the tests that run on each change.
 */
import fc from 'fast-check';
import type { Scenario } from '../modelEvents.js';
import type { Combination } from './pairWalk.js';

/** Draws scenarios of combinations; the same seed draws the same ones. */
export const samplePairs = (
  combinations: readonly Combination[],
  { count, seed }: { readonly count: number; readonly seed: number },
): Scenario[] => {
  const scenarios = combinations.flatMap((one) => one.scenarios);
  const index = fc.nat({ max: scenarios.length - 1 });
  const drawn = fc.sample(fc.noBias(index), { seed, numRuns: count });
  return drawn.flatMap((one) => scenarios[one] ?? []);
};
