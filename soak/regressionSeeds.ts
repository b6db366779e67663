/**
 * Seeds that have failed, each with its cause; CI plays the first seconds of each.
 */
export interface RegressionSeed {
  readonly seed: number;
  readonly spanMs: number;
  readonly cause: string;
}

export const regressionSeeds: readonly RegressionSeed[] = [
  {
    seed: 23,
    spanMs: 5_000,
    cause: 'A planned stop met a process that had not taken the signal over yet, and killed it.',
  },
  {
    seed: 30,
    spanMs: 3_000,
    cause: 'The same, after a kill and two planned stops within a second.',
  },
];
