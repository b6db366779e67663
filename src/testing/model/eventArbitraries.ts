/**
 * Draws scenarios of the model: jobs and faults in any order and at any time, up to a number of them. Many faults
 * come together with a job that they are likely to meet, since most orders of a few events do nothing.
 */
import fc from 'fast-check';
import { unreachable } from '../../errors/unreachable.js';
import type { ModelEvent, ModelJob, Scenario, WorkerChoice } from './modelEvents.js';

const maxIncidents = 4;
const maxOthers = 6;
/** Time in which the events come, in milliseconds. */
const windowMs = 5_000;
const cpuMillis = 14_000;

/** Time in which a fault meets a job, or a restart is noticed, in milliseconds. */
const noticeMs = 1_000;
const shortRunMs = 60;
const shortDeadlineMs = 1_500;
const longDeadlineMs = 20_000;
const loadPeriodMs = 150;

const time = fc.integer({ min: 0, max: windowMs });
const duration = (min: number, max: number): fc.Arbitrary<number> => fc.integer({ min, max });
const daemon = fc.nat({ max: 2 });
const workerIndex = fc.nat({ max: 5 });
const jobIndex = fc.nat({ max: 3 });

/** Jobs of short tasks; of tasks for which clients may not wait; and of long tasks that need several daemons. */
const job: fc.Arbitrary<ModelJob> = fc
  .record({
    daemon,
    nextDaemonStep: fc.integer({ min: 1, max: 3 }),
    size: fc.oneof(
      fc.record({
        tasks: fc.integer({ min: 1, max: 14 }),
        runMs: fc.constant(shortRunMs),
        deadlineMs: fc.constant(shortDeadlineMs),
      }),
      fc.record({
        tasks: fc.integer({ min: 1, max: 10 }),
        runMs: fc.integer({ min: 800, max: 3_000 }),
        deadlineMs: fc.constantFrom(shortDeadlineMs, 4_000, longDeadlineMs),
      }),
      fc.record({
        tasks: fc.integer({ min: 1, max: 10 }),
        runMs: fc.integer({ min: 5_000, max: 7_000 }),
        deadlineMs: fc.constant(longDeadlineMs),
      }),
    ),
    estimateFactor: fc.constantFrom(0.6, 1),
    isFailing: fc.nat({ max: 9 }).map((chance) => chance === 0),
  })
  .map(({ estimateFactor, size, ...rest }) => ({
    ...rest,
    ...size,
    estimatedMs: size.runMs * estimateFactor,
    cpuMillis,
  }));

const worker: fc.Arbitrary<WorkerChoice> = fc.oneof(
  fc.record({ kind: fc.constant('running' as const), job: jobIndex }),
  fc.record({ kind: fc.constant('numbered' as const), index: workerIndex }),
);

const submit: fc.Arbitrary<ModelEvent> = fc.record({
  kind: fc.constant('submit' as const),
  atMs: time,
  job,
});

const daemonFault: fc.Arbitrary<ModelEvent> = fc.oneof(
  fc.record({
    ...{ kind: fc.constant('stop' as const), atMs: time, daemon },
    downMs: duration(300, 2_000),
  }),
  fc.record({
    ...{ kind: fc.constant('kill' as const), atMs: time, daemon },
    downMs: duration(300, 3_500),
  }),
  fc.record({
    ...{ kind: fc.constant('freeze' as const), atMs: time, daemon },
    forMs: fc.oneof(duration(200, 1_500), duration(2_800, 4_500)),
  }),
  fc.record({
    ...{ kind: fc.constant('cut-daemons' as const), atMs: time, daemon, other: daemon },
    fault: fc.constantFrom('silent' as const, 'held-up' as const),
    forMs: duration(200, 4_000),
  }),
  fc.record({
    ...{ kind: fc.constant('cut-store' as const), atMs: time, daemon },
    forMs: duration(200, 4_000),
  }),
);

const workerFault: fc.Arbitrary<ModelEvent> = fc.oneof(
  fc.record({
    ...{ kind: fc.constant('cut' as const), atMs: time, worker },
    daemon: fc.option(daemon, { nil: null }),
    fault: fc.constantFrom('silent' as const, 'refusing' as const, 'held-up' as const),
    forMs: duration(200, 5_500),
  }),
  fc.record({
    ...{ kind: fc.constant('crash' as const), atMs: time, worker },
    down: fc.constantFrom('refused' as const, 'silent' as const),
    downMs: duration(100, 4_500),
  }),
  fc.record({
    ...{ kind: fc.constant('drain' as const), atMs: time, worker },
    drainMs: duration(1_500, 4_000),
  }),
  fc.record({
    ...{ kind: fc.constant('worker-fault' as const), atMs: time, worker },
    fault: fc.constantFrom('mute' as const, 'refusing' as const, 'late' as const),
    forMs: duration(100, 4_000),
  }),
  fc.record({
    ...{ kind: fc.constant('invalid-entry' as const), atMs: time, worker },
    form: fc.constantFrom('unreadable' as const, 'bad-port' as const, 'without-start' as const),
  }),
);

const cancel: fc.Arbitrary<ModelEvent> = fc.record({
  ...{ kind: fc.constant('cancel' as const), atMs: time, job: jobIndex, daemon },
});

/** Any fault, or a cancellation. */
export const fault: fc.Arbitrary<ModelEvent> = fc.oneof(
  { weight: 6, arbitrary: daemonFault },
  { weight: 5, arbitrary: workerFault },
  { weight: 1, arbitrary: cancel },
);

/** A fault, which may come twice, together with a job that it is likely to meet. */
const incident: fc.Arbitrary<ModelEvent[]> = fc
  .record({
    ...{ fault, job, share: fc.double({ min: 0, max: 1, noNaN: true }) },
    repeatedAfterMs: fc.option(duration(300, 4_000)),
  })
  .map(({ fault: one, job: met, share, repeatedAfterMs }) => [
    submitNear(one, met, share),
    one,
    ...(repeatedAfterMs === null ? [] : [{ ...one, atMs: one.atMs + repeatedAfterMs }]),
  ]);

/** Small jobs at one daemon, one after the other. */
const load: fc.Arbitrary<ModelEvent[]> = fc
  .record({ beginMs: time, count: fc.integer({ min: 4, max: 16 }), job })
  .map(({ beginMs, count, job: one }) =>
    Array.from({ length: count }, (_, index) => ({
      kind: 'submit',
      atMs: beginMs + index * loadPeriodMs,
      job: { ...one, runMs: shortRunMs, estimatedMs: shortRunMs, deadlineMs: shortDeadlineMs },
    })),
  );

/**
 * Submits a job to a frozen daemon, right after the restart of a worker, or a moment before any other fault.
 *
 * @param share - position in the time that is chosen from, from 0 to 1
 */
const submitNear = (one: ModelEvent, job: ModelJob, share: number): ModelEvent => {
  switch (one.kind) {
    case 'freeze': {
      const atMs = one.atMs + share * noticeMs;
      return { kind: 'submit', atMs, job: { ...job, daemon: one.daemon } };
    }
    case 'crash':
      return { kind: 'submit', atMs: one.atMs + one.downMs + share * noticeMs, job };
    case 'stop':
    case 'kill':
    case 'suspend':
    case 'slow':
    case 'cut-daemons':
    case 'cut-store':
    case 'cancel':
    case 'cut':
    case 'drain':
    case 'worker-fault':
    case 'invalid-entry':
    case 'expire-entry':
    case 'inbound':
    case 'reset':
    case 'submit':
      return { kind: 'submit', atMs: Math.max(one.atMs - share * noticeMs, 0), job };
    default:
      return unreachable(one);
  }
};

/** Failure domains of the daemons and the workers; few workers, so that jobs need several daemons. */
const topology = fc.constantFrom(
  {
    daemons: ['east', 'east', 'west'],
    domains: ['east', 'east', 'east', 'east', 'west', 'west'],
  },
  {
    daemons: ['east', 'west', 'south'],
    domains: ['east', 'east', 'west', 'west', 'south', 'south'],
  },
  { daemons: ['east', 'east'], domains: ['east', 'east', 'east', 'east', 'east'] },
);

/** Scenarios of some incidents, one burst of small jobs at most, and other jobs and faults. */
export const scenarioArbitrary: fc.Arbitrary<Scenario> = fc
  .record({
    seed: fc.nat({ max: 1_000 }),
    topology,
    incidents: fc.array(incident, { minLength: 1, maxLength: maxIncidents, size: 'max' }),
    bursts: fc.array(load, { maxLength: 1, size: 'max' }),
    startsStateLifetime: fc.boolean(),
    others: fc.array(fc.oneof(submit, fault), { maxLength: maxOthers, size: 'max' }),
  })
  .map(
    ({ seed, topology: { daemons, domains }, incidents, bursts, others, startsStateLifetime }) => ({
      seed,
      daemons: [...daemons],
      workers: domains.map((domain) => ({ domain, label: 'a' })),
      startsStateLifetime,
      events: [...incidents.flat(), ...bursts.flat(), ...others],
    }),
  );
