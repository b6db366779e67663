/**
 * Seeds that have failed, each with its cause. The tests run the first seconds of each.
 */
export interface RegressionSeed {
  readonly seed: number;
  /** Time within which faults begin, in milliseconds. */
  readonly faultWindowMs: number;
  readonly cause: string;
}

export const regressionSeeds: readonly RegressionSeed[] = [
  {
    seed: 23,
    faultWindowMs: 5_000,
    cause:
      'SIGTERM of a planned stop killed a process that had not installed its signal handler yet.',
  },
  {
    seed: 30,
    faultWindowMs: 3_000,
    cause: 'As seed 23, after a kill and two planned stops within a second.',
  },
];
