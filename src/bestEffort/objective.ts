/**
 * Time limits of a job, computed from the expected run times of its tasks: its objective, the time
 * after which it is given up, and how late an end is still admitted.
 */
import type { JobStep } from '../ports/jobs.js';
import type { Route } from '../types/routing.js';

/**
 * A job that has to wait for capacity is admitted if its expected end exceeds its objective by at
 * most this share of it.
 */
const admissionToleranceShare = 0.15;
/** A job is given up after this many times its objective; run times are known to within a fifth. */
const giveUpFactor = 3.6;

/**
 * Computes the expected time from the start of each step to the end of the job, in milliseconds:
 * the longest chain of dependent steps from there on, each with the run time of one of its tasks.
 */
const criticalPathsMs = (steps: readonly JobStep[]): number[] => {
  const pathsMs = steps.map(({ estimatedMs }) => estimatedMs);
  for (let index = steps.length - 1; index >= 0; index -= 1) {
    for (const earlier of steps[index]?.after ?? []) {
      const earlierMs = steps[earlier]?.estimatedMs ?? 0;
      pathsMs[earlier] = Math.max(pathsMs[earlier] ?? 0, earlierMs + (pathsMs[index] ?? 0));
    }
  }
  return pathsMs;
};

/** Computes the expected time of the longest chain of dependent steps of a job, in milliseconds. */
export const criticalPathMs = (steps: readonly JobStep[]): number =>
  Math.max(0, ...criticalPathsMs(steps));

/**
 * Computes the objective of a job: the stretched length of its critical path plus the slack.
 *
 * @param route - its stretch and slack are used
 * @param steps - the job's steps with their expected run times
 * @returns time from the job's arrival, in milliseconds
 */
export const computeObjectiveMs = (
  { objectiveStretch, objectiveSlackMs }: Route,
  steps: readonly JobStep[],
): number => objectiveStretch * Math.max(...criticalPathsMs(steps)) + objectiveSlackMs;

/** Computes the expected time from the end of a step to the end of the job, in milliseconds. */
export const remainingAfterStepMs = (steps: readonly JobStep[], index: number): number =>
  (criticalPathsMs(steps)[index] ?? 0) - (steps[index]?.estimatedMs ?? 0);

/** @returns time from the arrival of a job after which it is given up, in milliseconds */
export const giveUpAfterMs = (objectiveMs: number): number => objectiveMs * giveUpFactor;

/** @returns how late after its objective an admitted job may be expected to end, in milliseconds */
export const admissionToleranceMs = (objectiveMs: number): number =>
  objectiveMs * admissionToleranceShare;
