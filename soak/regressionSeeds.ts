/**
 * Seeds that have failed, each with its cause. The tests run the first seconds of each.
 */
import type { PlanKind } from './faultSeries.js';

export interface RegressionSeed {
  readonly plan: PlanKind;
  readonly seed: number;
  /** Time within which faults begin, in milliseconds. */
  readonly faultWindowMs: number;
  /** Number of workers, if not that of the fleet. */
  readonly workers?: number;
  readonly cause: string;
}

export const regressionSeeds: readonly RegressionSeed[] = [
  {
    plan: 'mixed',
    seed: 23,
    faultWindowMs: 5_000,
    cause:
      'SIGTERM of a planned stop killed a process that had not installed its signal handler yet.',
  },
  {
    plan: 'mixed',
    seed: 30,
    faultWindowMs: 3_000,
    cause: 'As seed 23, after a kill and two planned stops within a second.',
  },
];
