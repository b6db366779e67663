/**
 * What the series of faults share: their random numbers, the sizes of the fleet, and the requests that meet them.
 */
import { SeededRandom } from '../src/testing/seededRandom.js';
import type { PlannedFault, PlannedRequest } from './faults.js';

/** How long the caller of a short job waits, in milliseconds. */
export const shortDeadlineMs = 1_500;

/** Random numbers and the sizes of the fleet. */
export interface SeriesContext {
  readonly daemons: number;
  readonly workers: number;
  readonly windowMs: number;
  /** Returns a number from `min` to `max`. */
  readonly between: (min: number, max: number) => number;
  /** Returns an integer from 0 to `count` - 1. */
  readonly randomInt: (count: number) => number;
}

/** The sizes of a fleet, and the time within which faults begin. */
type SeriesSizes = Pick<SeriesContext, 'daemons' | 'workers' | 'windowMs'>;

/** Creates a context whose random numbers are those of a seed. */
export const createSeriesContext = (seed: number, sizes: SeriesSizes): SeriesContext => {
  const random = SeededRandom.create(seed);
  return {
    ...sizes,
    between: (min, max) => Math.round(min + random.next() * (max - min)),
    randomInt: (count) => Math.floor(random.next() * count),
  };
};

/** Plans one member of a series after the other, with a random time between two of them. */
export const repeat = (
  context: SeriesContext,
  minGapMs: number,
  maxGapMs: number,
  plan: (atMs: number, context: SeriesContext) => PlannedFault[],
): PlannedFault[] => {
  const planned: PlannedFault[] = [];
  let atMs = context.between(0, 1_000);
  while (atMs < context.windowMs) {
    planned.push(...plan(atMs, context));
    atMs += context.between(minGapMs, maxGapMs);
  }
  return planned;
};

/** A job for a daemon; its second attempt goes to the other failure domain, unless the job says otherwise. */
export const requestAt = (
  atMs: number,
  context: SeriesContext,
  daemon: number,
  job: Omit<PlannedRequest, 'daemon' | 'nextDaemon' | 'estimatedMs'> &
    Partial<Pick<PlannedRequest, 'nextDaemon' | 'estimatedMs'>>,
): PlannedFault => {
  const otherDomain = (daemon + Math.floor(context.daemons / 2)) % context.daemons;
  const nextDaemon = job.nextDaemon ?? otherDomain;
  const request = { estimatedMs: job.runMs, ...job, daemon, nextDaemon };
  return { atMs, fault: { kind: 'request', request } };
};

/** @returns another daemon of the same failure domain, which is one half of the daemons */
export const neighbourOf = (daemon: number, { daemons, randomInt }: SeriesContext): number => {
  const half = Math.floor(daemons / 2);
  const first = daemon < half ? 0 : half;
  const size = daemon < half ? half : daemons - half;
  return first + ((daemon - first + 1 + randomInt(size - 1)) % size);
};

/** @returns the workers of the failure domain of a daemon, which has the first or the second half of both */
export const workersBeside = (daemon: number, { daemons, workers }: SeriesContext): number[] => {
  const half = Math.ceil(workers / 2);
  const indexes = Array.from({ length: workers }, (_, index) => index);
  return daemon < daemons / 2 ? indexes.slice(0, half) : indexes.slice(half);
};
