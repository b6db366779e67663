/**
 * Plans series of faults of one kind, each with the requests that meet them.
 */
import { unreachable } from '../src/errors/unreachable.js';
import type { Fault, InvalidEntry, PlannedFault } from './faults.js';
import type { LinkFault } from './faultyProxy.js';
import { planJointTrouble } from './jointTrouble.js';
import { planLateCallers } from './lateCallers.js';
import { pickOne } from './pickOne.js';
import {
  createSeriesContext,
  neighbourOf,
  repeat,
  requestAt,
  shortDeadlineMs,
} from './seriesContext.js';
import type { SeriesContext } from './seriesContext.js';
import { planFaults } from './singleFaults.js';
import type { FaultPlanOptions } from './singleFaults.js';
import { planUnheardCallers } from './unheardCallers.js';

export const seriesKinds = [
  'cuts',
  'worker-crashes',
  'planned-stops',
  'kills',
  'pauses',
  'invalid-entries',
] as const;
/** Workers that are cut off in turn, workers that crash, daemons that are stopped, killed or paused. */
export type SeriesKind = (typeof seriesKinds)[number];

/** Series that are only played alone: mixed plans are drawn from the others, as their seeds were before. */
const separateKinds = ['daemon-and-worker', 'late-callers', 'unheard-callers'] as const;
type SeparateKind = (typeof separateKinds)[number];

/** What a seed plays: single faults with some series among them, or one series alone. */
export type PlanKind = 'mixed' | SeriesKind | SeparateKind;
export const planKinds: readonly PlanKind[] = ['mixed', ...seriesKinds, ...separateKinds];

/** Separate the random numbers of the series from those of the other faults, and those of successive seeds. */
const seriesSeedOffset = 2_000_000;
const seedFactor = 0x9e3779b1;
/** Series of a mixed plan. */
const mixedSeriesCount = 2;
/** Longest run time of a task: longer than the grace period of a planned stop, in milliseconds. */
const longestTaskMs = 7_000;
/** How long the caller of a job of such tasks waits, in milliseconds. */
const longDeadlineMs = 20_000;
/** Time between two small jobs beside a kill, and for how long they come, in milliseconds. */
const smallJobPeriodMs = 100;
const smallJobsMs = 3_200;

/** Plans the faults of a seed by the kind of its plan, in the order of their start times. */
export const planSeed = (kind: PlanKind, options: FaultPlanOptions): PlannedFault[] => {
  const { daemons, workers, faultWindowMs: windowMs } = options;
  const seed = Math.imul(options.seed + seriesSeedOffset, seedFactor);
  const context = createSeriesContext(seed, { daemons, workers, windowMs });
  if (kind !== 'mixed') {
    return sortByTime(planSeries(kind, context));
  }
  const kinds = Array.from({ length: mixedSeriesCount }, () =>
    pickOne(seriesKinds, context.randomInt),
  );
  const series = kinds.flatMap((one) => planSeries(one, context));
  return sortByTime([...planFaults(options), ...series]);
};

const sortByTime = (planned: readonly PlannedFault[]): PlannedFault[] =>
  [...planned].sort((a, b) => a.atMs - b.atMs);

const planSeries = (kind: SeriesKind | SeparateKind, context: SeriesContext): PlannedFault[] => {
  switch (kind) {
    case 'cuts':
      return [...planLongJobs(context), ...repeat(context, 500, 900, planCut)];
    case 'worker-crashes':
      return repeat(context, 700, 1_400, planWorkerCrash);
    case 'planned-stops':
      return [...planLongJobs(context), ...repeat(context, 7_000, 8_000, planStop)];
    case 'kills':
      return repeat(context, 6_000, 7_500, planKills);
    case 'pauses':
      return repeat(context, 2_000, 4_000, planPause);
    case 'invalid-entries':
      return [...planLongJobs(context), ...repeat(context, 300, 900, planInvalidEntry)];
    case 'daemon-and-worker':
      return repeat(context, 4_500, 6_000, planJointTrouble);
    case 'late-callers':
      return repeat(context, 2_500, 4_000, planLateCallers);
    case 'unheard-callers':
      return repeat(context, 4_500, 6_000, planUnheardCallers);
    default:
      return unreachable(kind);
  }
};

/** Jobs of long tasks, which meet several faults. */
const planLongJobs = (context: SeriesContext): PlannedFault[] =>
  repeat(context, 1_500, 3_000, (atMs, { between, randomInt, daemons }) => [
    requestAt(atMs, context, randomInt(daemons), {
      tasks: between(1, 3),
      runMs: between(longestTaskMs / 3, longestTaskMs),
      deadlineMs: longDeadlineMs,
    }),
  ]);

const planCut = (atMs: number, { between, randomInt, workers }: SeriesContext): PlannedFault[] => {
  const index = randomInt(workers);
  const durationMs = between(1_200, 2_200);
  const link = (fault: LinkFault): Fault => {
    return { kind: 'link', place: 'worker', index, fault, durationMs };
  };
  const faults: readonly Fault[] = [
    link({ kind: 'silent' }),
    link({ kind: 'resetting' }),
    link({ kind: 'refused' }),
    { kind: 'worker', index, fault: { kind: 'cut' }, durationMs },
  ];
  return [{ atMs, fault: pickOne(faults, randomInt) }];
};

/** A crash, and a job that comes soon after the worker is back. */
const planWorkerCrash = (atMs: number, context: SeriesContext): PlannedFault[] => {
  const { between, randomInt, workers, daemons } = context;
  const durationMs = between(300, 1_200);
  const index = randomInt(workers);
  const backAtMs = atMs + durationMs;
  const jobs = Array.from({ length: daemons }, (_, daemon) =>
    requestAt(backAtMs + between(50, 400), context, daemon, {
      tasks: between(2, 5),
      runMs: between(300, 900),
      deadlineMs: shortDeadlineMs,
    }),
  );
  return [{ atMs, fault: { kind: 'worker-crash', index, durationMs } }, ...jobs];
};

/** A planned stop just after the other daemons of the failure domain got jobs of the longest tasks. */
const planStop = (atMs: number, context: SeriesContext): PlannedFault[] => {
  const { between, randomInt, daemons } = context;
  const daemon = randomInt(daemons);
  const job = requestAt(atMs, context, neighbourOf(daemon, context), {
    tasks: between(4, 8),
    runMs: longestTaskMs,
    deadlineMs: longDeadlineMs,
  });
  return [job, { atMs: atMs + between(200, 1_200), fault: { kind: 'planned-stop', daemon } }];
};

/**
 * A daemon that is killed with a job at work, while small jobs for workers of another kind go on at one
 * beside it.
 */
const planKills = (atMs: number, context: SeriesContext): PlannedFault[] => {
  const { between, randomInt, daemons } = context;
  const daemon = randomInt(daemons);
  const neighbour = neighbourOf(daemon, context);
  const smallJobs = Array.from({ length: smallJobsMs / smallJobPeriodMs }, (_, index) =>
    requestAt(atMs + index * smallJobPeriodMs, context, neighbour, {
      tasks: between(3, 9),
      runMs: 60,
      deadlineMs: shortDeadlineMs,
      workerKind: 'a',
    }),
  );
  const job = requestAt(atMs + 800, context, daemon, {
    tasks: between(5, 8),
    runMs: 2_200,
    estimatedMs: 1_300,
    deadlineMs: shortDeadlineMs,
    workerKind: 'b',
  });
  const kill: Fault = { kind: 'kill-again', daemon, kills: between(1, 4) };
  return [...smallJobs, job, { atMs: atMs + 1_000, fault: kill }];
};

/** A pause during which jobs come, whose callers leave. */
const planPause = (atMs: number, context: SeriesContext): PlannedFault[] => {
  const { between, randomInt, daemons } = context;
  const daemon = randomInt(daemons);
  const durationMs = between(2_000, 4_000);
  const jobs = Array.from({ length: 2 }, () =>
    requestAt(atMs + between(50, durationMs / 2), context, daemon, {
      tasks: between(2, 4),
      runMs: between(600, 1_400),
      deadlineMs: shortDeadlineMs,
    }),
  );
  return [{ atMs, fault: { kind: 'pause', daemon, durationMs } }, ...jobs];
};

const planInvalidEntry = (atMs: number, context: SeriesContext): PlannedFault[] => {
  const { between, randomInt, workers } = context;
  const entry = pickOne<InvalidEntry>(
    ['port', 'octet', 'number', 'nesting', 'without-born', 'other-service', 'bytes'],
    randomInt,
  );
  const index = randomInt(workers);
  const isOwnKey = entry !== 'without-born' && randomInt(2) === 0;
  const durationMs = between(300, 1_500);
  return [{ atMs, fault: { kind: 'invalid-entry', entry, index, isOwnKey, durationMs } }];
};
