/**
 * Draws scenarios of a few workers and jobs, of which some are short, need a kind that few workers have, or crash their
 * workers, beside bouts of trouble: a worker that crashes behind a cut or amid late orders, or a daemon in trouble.
 */
import fc from 'fast-check';
import type { ModelEvent, ModelJob, Scenario, WorkerChoice } from './modelEvents.js';

const maxJobs = 4;
const minBouts = 2;
const maxBouts = 6;
const maxDaemons = 3;
/** Workers whose kind and size stay, so that every job can be done: one of each kind. */
const lastingWorkers = 2;
/** The other workers; the first of them may come back as another kind or size. */
const maxOthers = 2;
/** Time in which the jobs come, and in which the bouts begin, in milliseconds. */
const jobWindowMs = 2_500;
const boutWindowMs = 6_000;
const commonKind = 'a';
const rareKind = 'b';
const smallWorkerCpuMillis = 8_000;

const integer = (min: number, max: number): fc.Arbitrary<number> => fc.integer({ min, max });
const chance = (oneIn: number): fc.Arbitrary<boolean> =>
  fc.nat({ max: oneIn - 1 }).map((drawn) => drawn === 0);

const runMs = fc.oneof(
  { weight: 3, arbitrary: integer(100, 1_200) },
  { weight: 1, arbitrary: integer(1_200, 4_000) },
);

const job: fc.Arbitrary<ModelJob> = fc
  .record({
    daemon: fc.nat({ max: maxDaemons - 1 }),
    nextDaemonStep: integer(1, maxDaemons),
    tasks: integer(1, 3),
    runMs,
    deadlineMs: fc.oneof(fc.constant(1_500), integer(4_000, 20_000)),
    cpuMillis: fc.constantFrom(5_000, 14_000, 20_000),
    maxAttempts: fc.constantFrom(1, 3, 8),
    isFailing: chance(10),
    isDeadly: chance(6),
    needsRareKind: chance(3),
  })
  .map(({ needsRareKind, ...rest }) => ({
    ...rest,
    estimatedMs: rest.runMs,
    ...(needsRareKind ? { requiredLabel: rareKind } : {}),
  }));

const submit: fc.Arbitrary<ModelEvent> = fc.record({
  ...{ kind: fc.constant('submit' as const), atMs: integer(500, jobWindowMs), job },
});

const worker: fc.Arbitrary<WorkerChoice> = fc.oneof(
  fc.record({ kind: fc.constant('running' as const), job: fc.nat({ max: maxJobs - 1 }) }),
  fc.record({
    kind: fc.constant('numbered' as const),
    index: fc.nat({ max: lastingWorkers + maxOthers - 1 }),
  }),
);
const numbered: fc.Arbitrary<WorkerChoice> = fc.record({
  ...{
    kind: fc.constant('numbered' as const),
    index: fc.nat({ max: lastingWorkers + maxOthers - 1 }),
  },
});
const daemon = fc.nat({ max: maxDaemons - 1 });
const atMs = integer(300, boutWindowMs);
const downMs = fc.oneof(integer(50, 1_200), integer(1_200, 4_000), integer(4_500, 12_000));
const down = fc.constantFrom('refused' as const, 'silent' as const);

/** A cut or late orders, and a crash of the same worker meanwhile or soon after. */
const crashInTrouble: fc.Arbitrary<ModelEvent[]> = fc
  .record({
    trouble: fc.oneof(
      fc.record({
        ...{ kind: fc.constant('cut' as const), atMs, worker: numbered },
        daemon: fc.option(daemon, { nil: null }),
        fault: fc.constantFrom('silent' as const, 'held-up' as const, 'held-up' as const),
        direction: fc.constantFrom(undefined, undefined, 'out' as const, 'back' as const),
        forMs: integer(100, 2_600),
      }),
      fc.record({
        ...{ kind: fc.constant('worker-fault' as const), atMs, worker: numbered },
        fault: fc.constantFrom('late' as const, 'mute' as const, 'refusing' as const),
        ...{ lateByMs: integer(300, 2_300), forMs: integer(100, 2_600) },
      }),
    ),
    ...{ afterMs: integer(20, 2_600), down, downMs },
  })
  .map(({ trouble, afterMs, ...rest }) => [
    trouble,
    { kind: 'crash', atMs: trouble.atMs + afterMs, worker: trouble.worker, ...rest },
  ]);

const crash: fc.Arbitrary<ModelEvent> = fc.record({
  ...{ kind: fc.constant('crash' as const), atMs, worker, down, downMs },
});

/** A worker that comes back as another kind or as a smaller one. */
const change: fc.Arbitrary<ModelEvent> = fc.record({
  ...{ kind: fc.constant('crash' as const), atMs, down, downMs },
  worker: fc.constant({ kind: 'numbered' as const, index: lastingWorkers }),
  next: fc.constantFrom(
    { label: commonKind },
    { label: rareKind },
    { cpuMillis: smallWorkerCpuMillis },
  ),
});

const otherTrouble: fc.Arbitrary<ModelEvent> = fc.oneof(
  crash,
  change,
  fc.record({
    ...{ kind: fc.constant('kill' as const), atMs, daemon, downMs: integer(300, 3_500) },
  }),
  fc.record({
    ...{ kind: fc.constantFrom('freeze' as const, 'suspend' as const), atMs, daemon },
    forMs: integer(200, 4_000),
  }),
  fc.record({
    ...{ kind: fc.constant('cut-daemons' as const), atMs, daemon, other: daemon },
    ...{
      fault: fc.constantFrom('silent' as const, 'held-up' as const),
      forMs: integer(200, 4_000),
    },
  }),
  fc.record({
    ...{ kind: fc.constant('drain' as const), atMs, worker, drainMs: integer(1_500, 3_000) },
  }),
  fc.record({
    ...{ kind: fc.constant('expire-entry' as const), atMs, worker, forMs: integer(500, 8_000) },
  }),
);

const bout: fc.Arbitrary<ModelEvent[]> = fc.oneof(
  crashInTrouble,
  otherTrouble.map((one) => [one]),
);

const domain = fc.constantFrom('east', 'east', 'west');

/** Domains of daemons and workers, each of which is served by a daemon of its domain. */
const topology = fc
  .record({
    daemons: fc.array(domain, { minLength: 1, maxLength: maxDaemons - 1 }),
    domains: fc.tuple(domain, domain),
    others: fc.array(fc.record({ domain, label: fc.constantFrom(commonKind, rareKind) }), {
      ...{ minLength: 1, maxLength: maxOthers },
    }),
  })
  .map(({ daemons, domains, others }) => {
    const served = ['east', ...daemons];
    const workers = [
      { domain: domains[0], label: commonKind },
      { domain: domains[1], label: rareKind },
      ...others,
    ];
    return {
      daemons: served,
      workers: workers.map((one) => ({
        ...one,
        domain: served.includes(one.domain) ? one.domain : 'east',
      })),
    };
  });

/** Scenarios of small fleets. */
export const smallFleetArbitrary: fc.Arbitrary<Scenario> = fc
  .record({
    ...{ seed: fc.nat({ max: 1_000 }), topology },
    jobs: fc.array(submit, { minLength: 1, maxLength: maxJobs, size: 'max' }),
    bouts: fc.array(bout, { minLength: minBouts, maxLength: maxBouts, size: 'max' }),
    ...{ startsStateLifetime: fc.boolean(), guardsCapacity: fc.boolean() },
  })
  .map(({ topology: fleet, jobs, bouts, ...rest }) => ({
    ...{ ...fleet, ...rest },
    events: [...jobs, ...bouts.flat()],
  }));
