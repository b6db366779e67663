/**
 * Jobs of three routes of one service that compete for its workers: short wide urgent ones, narrow ones, and long ones.
 */
import type { Route } from '../../src/types/routing.js';
import { SeededRandom } from '../../src/testing/seededRandom.js';

export const serviceId = 'hire';
const host = 'hire.example';
const objectiveStretch = 1.6;
const objectiveSlackMs = 60;
/** Callers wait for this long beyond `deadlineStretch` times their objective, in milliseconds. */
const deadlineBaseMs = 1_500;
const deadlineStretch = 2.5;
/** Standard deviation of the logarithm of run times, and of the error of declared ones. */
const runTimeSpread = 0.4;
const declarationSpread = 0.4;
/** Share of the jobs that take `tailFactor` times as long. */
const tailShare = 0.03;
const tailFactor = 7;
/** Standard deviation of the logarithm of the run times of the tasks of one job. */
const taskSpread = 0.15;
const coreSpread = 0.2;
const maxCpuMillis = 24_000;
const meanCpuMillis = 16_000;

/** A kind of job: its route, and what its jobs are like. */
interface JobKind {
  readonly route: Route;
  readonly meanTasks: number;
  readonly meanRunMs: number;
  /** Jobs a second for each 245 workers at load 1. */
  readonly perSecond: number;
}

const createRoute = (routeId: string, priority: number): Route => ({
  ...{ routeId, host, pathPrefix: `/${routeId}/`, serviceId, priority },
  ...{ maxFailedRuns: 2, timeoutMs: 30_000, objectiveStretch, objectiveSlackMs },
});

const kinds: readonly JobKind[] = [
  { route: createRoute('check', 0), meanTasks: 8, meanRunMs: 51, perSecond: 160 },
  { route: createRoute('slot', 1), meanTasks: 2, meanRunMs: 170, perSecond: 465 },
  { route: createRoute('quote', 2), meanTasks: 4, meanRunMs: 760, perSecond: 29 },
];
const referenceWorkers = 245;

export const routes: readonly Route[] = kinds.map(({ route }) => route);

/** One job that arrives. */
export interface Arrival {
  readonly jobId: string;
  readonly atMs: number;
  readonly route: Route;
  /** Run time of each task. */
  readonly runsMs: readonly number[];
  readonly estimatedMs: number;
  readonly cpuMillis: number;
  readonly deadlineMs: number;
  /** Index of the daemon that it arrives at. */
  readonly daemon: number;
}

/** @returns cores of each worker in thousandths; a third of them are half as large again */
export const workerSizes = (count: number): number[] =>
  Array.from({ length: count }, (_, index) => (index % 3 === 2 ? 48_000 : 32_000));

/** Time within which a job has to end, in milliseconds. */
export const objectiveMsOf = ({ runsMs }: Pick<Arrival, 'runsMs'>): number =>
  objectiveStretch * Math.max(...runsMs) + objectiveSlackMs;

/** Draws arrivals: Poisson by route, at daemons with uneven shares. */
export const createArrivals = ({
  seed,
  rate,
  seconds,
  workerCount,
}: {
  readonly seed: number;
  readonly rate: number;
  readonly seconds: number;
  readonly workerCount: number;
}): Arrival[] => {
  const random = SeededRandom.create(seed);
  const normal = (): number =>
    Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
  const spreadAround = (mean: number, spread: number): number =>
    mean * Math.exp(spread * normal() - (spread * spread) / 2);
  const arrivals = kinds.flatMap((kind) => {
    const perMs = (kind.perSecond * rate * workerCount) / referenceWorkers / 1_000;
    const ofKind: Omit<Arrival, 'jobId'>[] = [];
    for (let atMs = 0; ;) {
      atMs += -Math.log(1 - random.next()) / perMs;
      if (atMs > seconds * 1_000) {
        return ofKind;
      }
      const isTail = random.next() < tailShare;
      const runMs = spreadAround(kind.meanRunMs, runTimeSpread) * (isTail ? tailFactor : 1);
      const taskCount = Math.max(Math.round(spreadAround(kind.meanTasks, runTimeSpread)), 1);
      const runsMs = Array.from({ length: taskCount }, () => spreadAround(runMs, taskSpread));
      ofKind.push({
        atMs,
        route: kind.route,
        runsMs,
        estimatedMs: Math.max(Math.round(spreadAround(runMs, declarationSpread)), 1),
        cpuMillis: Math.min(Math.round(spreadAround(meanCpuMillis, coreSpread)), maxCpuMillis),
        deadlineMs: deadlineBaseMs + deadlineStretch * objectiveMsOf({ runsMs }),
        daemon: Math.floor(random.next() * random.next() * 64),
      });
    }
  });
  return arrivals
    .sort((a, b) => a.atMs - b.atMs)
    .map((arrival, index) => ({ ...arrival, jobId: index.toString(16).padStart(16, '0') }));
};
