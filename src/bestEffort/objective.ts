/**
 * When a job should have ended, by the expected run times of its tasks.
 */
import type { JobStep } from '../ports/jobs.js';
import type { Route } from '../types/routing.js';

/** A job that is expected to end this share of its objective too late is still taken. */
const admissionStretch = 0.15;
/** A job is given up after this many times its objective; its length is known to a fifth. */
const worthlessFactor = 3.6;
/** Shortest time after which a refused caller should come back, in milliseconds. */
const minRetryAfterMs = 1_000;

/** Declared time from the start of each step until the end of the job, in milliseconds. */
const chainsMs = (steps: readonly JobStep[]): number[] => {
  const chains = steps.map(({ estimatedMs }) => estimatedMs);
  for (let index = steps.length - 1; index >= 0; index -= 1) {
    for (const earlier of steps[index]?.after ?? []) {
      const own = steps[earlier]?.estimatedMs ?? 0;
      chains[earlier] = Math.max(chains[earlier] ?? 0, own + (chains[index] ?? 0));
    }
  }
  return chains;
};

/**
 * Tells within which time a job meets its objective.
 *
 * @param route - with the stretch and slack of the objective
 * @param steps - the job's steps
 * @returns milliseconds
 */
export const objectiveMs = (
  { objectiveStretch, objectiveSlackMs }: Route,
  steps: readonly JobStep[],
): number => objectiveStretch * Math.max(...chainsMs(steps)) + objectiveSlackMs;

/** Tells how long the steps after one of them are declared to take, in milliseconds. */
export const timeAfterStepMs = (steps: readonly JobStep[], index: number): number =>
  (chainsMs(steps)[index] ?? 0) - (steps[index]?.estimatedMs ?? 0);

/** Tells after which time a job is worth nothing any more, in milliseconds. */
export const worthlessAfterMs = (objective: number): number => objective * worthlessFactor;

/** Tells how much later than its objective a job may be expected to end and is still taken. */
export const admissionAllowanceMs = (objective: number): number => objective * admissionStretch;

/** Tells after which time a refused caller should come back, in milliseconds. */
export const retryAfterMs = (waitMs: number): number => Math.max(waitMs, minRetryAfterMs);
