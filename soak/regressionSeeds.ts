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
  {
    plan: 'cuts',
    seed: 201,
    faultWindowMs: 10_000,
    workers: 12,
    cause:
      'A worker that was silent until its leases had ended counted as crashed under its tasks.',
  },
  {
    plan: 'planned-stops',
    seed: 116,
    faultWindowMs: 8_000,
    workers: 12,
    cause: 'A daemon that ended returned tasks that were still at work as ones that run nowhere.',
  },
  {
    plan: 'kills',
    seed: 42,
    faultWindowMs: 9_000,
    workers: 16,
    cause:
      'A daemon that went on sending to a killed one counted it as reachable, with its batches.',
  },
  {
    plan: 'worker-crashes',
    seed: 204,
    faultWindowMs: 10_000,
    workers: 12,
    cause: 'Runs of the new life of a worker were taken for lost when its restart was noticed.',
  },
  {
    plan: 'pauses',
    seed: 112,
    faultWindowMs: 8_000,
    workers: 12,
    cause: 'A request that had waited in a paused daemon was started after its caller had gone.',
  },
];
