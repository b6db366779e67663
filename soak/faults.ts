/**
 * The faults of one seed: what happens, to whom, when, and for how long.
 */
import { SeededRandom } from '../src/testing/seededRandom.js';
import type { WorkerFault } from '../standins/platform/workerStandIn.js';
import type { LinkFault } from './faultyProxy.js';

/** Where a proxy stands: before a daemon's callers, before its store, or before a worker. */
export type LinkPlace = 'callers' | 'store' | 'worker';

export type Fault =
  | { readonly kind: 'kill'; readonly daemon: number; readonly durationMs: number }
  | { readonly kind: 'planned-stop'; readonly daemon: number }
  | { readonly kind: 'pause'; readonly daemon: number; readonly durationMs: number }
  | {
      readonly kind: 'link';
      readonly place: LinkPlace;
      readonly index: number;
      readonly fault: LinkFault;
      readonly durationMs: number;
    }
  | { readonly kind: 'reset'; readonly place: LinkPlace; readonly index: number }
  | { readonly kind: 'store'; readonly state: 'busy' | 'silent'; readonly durationMs: number }
  | { readonly kind: 'store-compacts' }
  | {
      readonly kind: 'worker';
      readonly index: number;
      readonly fault: WorkerFault;
      readonly durationMs: number;
    }
  | { readonly kind: 'routes'; readonly count: number };

/** A fault with the time at which it begins, from the start of the faults. */
export interface PlannedFault {
  readonly atMs: number;
  readonly fault: Fault;
}

export interface FaultPlanOptions {
  readonly seed: number;
  readonly daemons: number;
  readonly workers: number;
  /** Time in which faults begin, in milliseconds. */
  readonly spanMs: number;
}

const meanGapMs = 600;
const minDurationMs = 200;
const maxDurationMs = 3_000;

/** Draws the faults of a seed; they come in series and overlap. */
export const planFaults = ({
  seed,
  daemons,
  workers,
  spanMs,
}: FaultPlanOptions): PlannedFault[] => {
  const random = SeededRandom.create(seed);
  const below = (count: number): number => Math.floor(random.next() * count);
  const durationMs = (): number =>
    Math.round(minDurationMs + random.next() ** 2 * (maxDurationMs - minDurationMs));
  const planned: PlannedFault[] = [];
  let atMs = random.next() * meanGapMs;
  while (atMs < spanMs) {
    planned.push({
      atMs: Math.round(atMs),
      fault: drawFault({ below, durationMs }, daemons, workers),
    });
    atMs += random.next() * 2 * meanGapMs;
  }
  return planned;
};

interface Draw {
  readonly below: (count: number) => number;
  readonly durationMs: () => number;
}

const drawFault = (draw: Draw, daemons: number, workers: number): Fault => {
  const { below, durationMs } = draw;
  const daemon = below(daemons);
  const index = below(workers);
  const makers: readonly (() => Fault)[] = [
    () => ({ kind: 'kill', daemon, durationMs: durationMs() }),
    () => ({ kind: 'planned-stop', daemon }),
    () => ({ kind: 'pause', daemon, durationMs: durationMs() }),
    () => ({ ...drawPlace(draw, daemons, workers), kind: 'link', ...drawLink(draw) }),
    () => ({ ...drawPlace(draw, daemons, workers), kind: 'link', ...drawLink(draw) }),
    () => ({ ...drawPlace(draw, daemons, workers), kind: 'reset' }),
    () => ({ kind: 'store', state: below(2) === 0 ? 'busy' : 'silent', durationMs: durationMs() }),
    () => ({ kind: 'store-compacts' }),
    () => ({ kind: 'worker', index, fault: drawWorkerFault(draw), durationMs: durationMs() }),
    () => ({ kind: 'worker', index, fault: drawWorkerFault(draw), durationMs: durationMs() }),
    () => ({ kind: 'routes', count: 1 + below(50) }),
  ];
  return pick(makers, below)();
};

const drawPlace = (
  { below }: Draw,
  daemons: number,
  workers: number,
): { readonly place: LinkPlace; readonly index: number } => {
  const place = pick<LinkPlace>(['callers', 'store', 'worker'], below);
  return { place, index: below(place === 'worker' ? workers : daemons) };
};

const drawLink = ({
  below,
  durationMs,
}: Draw): { readonly fault: LinkFault; readonly durationMs: number } => ({
  fault: pick<LinkFault>(
    [
      { kind: 'delayed', delayMs: 5 + below(100) },
      { kind: 'cut-requests' },
      { kind: 'cut-answers' },
      { kind: 'silent' },
    ],
    below,
  ),
  durationMs: durationMs(),
});

const drawWorkerFault = ({ below }: Draw): WorkerFault =>
  pick<WorkerFault>(
    [
      { kind: 'mute' },
      { kind: 'cut' },
      { kind: 'failing' },
      { kind: 'hanging' },
      { kind: 'late-starts', delayMs: 200 + below(1_500) },
    ],
    below,
  );

const pick = <T>(items: readonly T[], below: (count: number) => number): T => {
  const item = items[below(items.length)];
  if (item === undefined) {
    throw new Error('There is nothing to pick from.');
  }
  return item;
};
