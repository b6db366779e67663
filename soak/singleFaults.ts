/**
 * Plans the single faults of one seed: kind, target, time and duration of each.
 */
import { SeededRandom } from '../src/testing/seededRandom.js';
import type { WorkerFault } from '../standins/platform/workerFault.js';
import type { Fault, LinkPlace, PlannedFault } from './faults.js';
import type { LinkFault } from './faultyProxy.js';
import { pickOne } from './pickOne.js';

export interface FaultPlanOptions {
  readonly seed: number;
  /** Number of daemons. */
  readonly daemons: number;
  /** Number of workers. */
  readonly workers: number;
  /** Time within which all faults begin, in milliseconds. */
  readonly faultWindowMs: number;
}

/** Mean time between the starts of two faults, in milliseconds. */
const meanGapMs = 600;
/** Mean time between two changes of settings files, in milliseconds. */
const meanReloadGapMs = 1_500;
const maxReloadSignals = 3;
/** Separates the random numbers of the reloads from those of the other faults of a seed. */
const reloadSeedOffset = 1_000_000;
const minDurationMs = 200;
const maxDurationMs = 3_000;

/**
 * Draws the faults of a seed, which may overlap. The same options always give the same faults.
 *
 * @returns the faults in the order of their start times
 */
export const planFaults = ({
  seed,
  daemons,
  workers,
  faultWindowMs,
}: FaultPlanOptions): PlannedFault[] => {
  const random = SeededRandom.create(seed);
  const randomInt = (count: number): number => Math.floor(random.next() * count);
  const durationMs = (): number =>
    Math.round(minDurationMs + random.next() ** 2 * (maxDurationMs - minDurationMs));
  const planned: PlannedFault[] = [];
  let atMs = random.next() * meanGapMs;
  while (atMs < faultWindowMs) {
    planned.push({
      atMs: Math.round(atMs),
      fault: drawFault({ randomInt, durationMs }, daemons, workers),
    });
    atMs += random.next() * 2 * meanGapMs;
  }
  return [...planned, ...planReloads(seed, daemons, faultWindowMs)].sort((a, b) => a.atMs - b.atMs);
};

/** Plans changes of settings files from random numbers of their own. */
const planReloads = (seed: number, daemons: number, faultWindowMs: number): PlannedFault[] => {
  const random = SeededRandom.create(seed + reloadSeedOffset);
  const planned: PlannedFault[] = [];
  for (let atMs = 0; atMs < faultWindowMs; atMs += random.next() * 2 * meanReloadGapMs) {
    const daemon = Math.floor(random.next() * daemons);
    const signals = Math.floor(random.next() * (maxReloadSignals + 1));
    planned.push({ atMs: Math.round(atMs), fault: { kind: 'reload', daemon, signals } });
  }
  return planned;
};

/** Random numbers for the fields of a fault. */
interface FaultRandom {
  /** Returns an integer from 0 to `count` - 1. */
  readonly randomInt: (count: number) => number;
  readonly durationMs: () => number;
}

/** Draws one fault; link and worker faults have two entries each and so are twice as likely. */
const drawFault = (random: FaultRandom, daemons: number, workers: number): Fault => {
  const { randomInt, durationMs } = random;
  const daemon = randomInt(daemons);
  const index = randomInt(workers);
  const factories: readonly (() => Fault)[] = [
    () => ({ kind: 'kill', daemon, durationMs: durationMs() }),
    () => ({ kind: 'planned-stop', daemon }),
    () => ({ kind: 'pause', daemon, durationMs: durationMs() }),
    () => ({ ...drawLinkPlace(random, daemons, workers), kind: 'link', ...drawLinkFault(random) }),
    () => ({ ...drawLinkPlace(random, daemons, workers), kind: 'link', ...drawLinkFault(random) }),
    () => ({ ...drawLinkPlace(random, daemons, workers), kind: 'reset' }),
    () => ({
      kind: 'store',
      state: randomInt(2) === 0 ? 'busy' : 'silent',
      durationMs: durationMs(),
    }),
    () => ({ kind: 'store-compacts' }),
    () => ({ kind: 'worker', index, fault: drawWorkerFault(random), durationMs: durationMs() }),
    () => ({ kind: 'worker', index, fault: drawWorkerFault(random), durationMs: durationMs() }),
    () => ({ kind: 'routes', count: 1 + randomInt(50) }),
  ];
  return pickOne(factories, randomInt)();
};

const drawLinkPlace = (
  { randomInt }: FaultRandom,
  daemons: number,
  workers: number,
): { readonly place: LinkPlace; readonly index: number } => {
  const place = pickOne<LinkPlace>(['callers', 'store', 'worker'], randomInt);
  return { place, index: randomInt(place === 'worker' ? workers : daemons) };
};

const drawLinkFault = ({
  randomInt,
  durationMs,
}: FaultRandom): { readonly fault: LinkFault; readonly durationMs: number } => ({
  fault: pickOne<LinkFault>(
    [
      { kind: 'delayed', delayMs: 5 + randomInt(100) },
      { kind: 'cut-requests' },
      { kind: 'cut-answers' },
      { kind: 'silent' },
    ],
    randomInt,
  ),
  durationMs: durationMs(),
});

const drawWorkerFault = ({ randomInt }: FaultRandom): WorkerFault =>
  pickOne<WorkerFault>(
    [
      { kind: 'mute' },
      { kind: 'cut' },
      { kind: 'failing' },
      { kind: 'hanging' },
      { kind: 'late-starts', delayMs: 200 + randomInt(1_500) },
    ],
    randomInt,
  );
