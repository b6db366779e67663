/**
 * Draws scenarios in which a daemon and a worker are in trouble at about the same time, beside a job that meets both,
 * and sometimes a third one. Independent draws hardly ever meet in this way.
 */
import fc from 'fast-check';
import { unreachable } from '../../errors/unreachable.js';
import type { ModelEvent, ModelJob, Scenario, WorkerChoice } from './modelEvents.js';
import { situations } from './walk/situations.js';

const cpuMillis = 10_000;
const deadlineMs = 1_500;
const longDeadlineMs = 20_000;
const shortRunMs = 60;
const submitAtMs = 1_000;
const heartbeatPeriodMs = 300;

const integer = (min: number, max: number): fc.Arbitrary<number> => fc.integer({ min, max });
/** Time from the daemon's trouble to another one, in milliseconds. */
const offset = fc.oneof(
  integer(-400, 1_500),
  /** Between the last renewal of a lease and the stop of a run whose requester is lost. */
  integer(400, 800),
);
const daemon = fc.nat({ max: 2 });
/** Daemons that accept the job: mostly one whose tasks run at another one. */
const requester = fc.constantFrom(0, 1, 2, 2, 2);
/** A daemon by its distance from the requester of the job, which is hit most often. */
const relativeDaemon = fc.constantFrom(0, 0, 0, 1, 2);
const direction = fc.constantFrom(undefined, undefined, 'out' as const, 'back' as const);

/** Failure domains of the daemons and of the workers with label `b`, on which the job runs. */
const topology = fc.constantFrom(
  { daemons: ['east', 'west', 'south'], domains: ['east', 'east', 'east', 'east'] },
  { daemons: ['east', 'west', 'south'], domains: ['east', 'east', 'west', 'west', 'south'] },
  { daemons: ['east', 'east', 'west'], domains: ['east', 'east', 'east', 'east', 'west', 'west'] },
  { daemons: ['east', 'east'], domains: ['east', 'east', 'east', 'east'] },
);

/** A job whose tasks outlast the troubles; its caller leaves amid these, or stays. */
const job: fc.Arbitrary<ModelJob> = fc
  .record({
    daemon: requester,
    nextDaemonStep: integer(1, 3),
    tasks: integer(1, 9),
    runMs: integer(2_000, 5_000),
    estimateFactor: fc.constantFrom(0.4, 0.6, 1),
    deadlineMs: fc.constantFrom(deadlineMs, longDeadlineMs),
    isDeadly: fc.nat({ max: 9 }).map((chance) => chance === 0),
  })
  .map(({ estimateFactor, ...rest }) => ({
    ...{ ...rest, cpuMillis, maxAttempts: 3, requiredLabel: 'b' },
    estimatedMs: Math.round(rest.runMs * estimateFactor),
  }));

/** Small jobs of another caller, on the same workers. */
const load: fc.Arbitrary<ModelEvent[]> = fc
  .record({ daemon, periodMs: integer(100, 300), count: integer(0, 12), tasks: integer(1, 4) })
  .map(({ periodMs, count, ...rest }) =>
    Array.from({ length: count }, (_, index) => ({
      kind: 'submit',
      atMs: submitAtMs + (index + 1) * periodMs,
      job: {
        ...{ ...rest, nextDaemonStep: 1, cpuMillis, deadlineMs, maxAttempts: 2 },
        ...{ runMs: shortRunMs, estimatedMs: shortRunMs, requiredLabel: 'b' },
      },
    })),
  );

const kill = (atMs: fc.Arbitrary<number>): fc.Arbitrary<ModelEvent> =>
  fc.record({
    ...{ kind: fc.constant('kill' as const), atMs, daemon: relativeDaemon },
    downMs: integer(300, 3_500),
  });

const daemonTrouble = (atMs: fc.Arbitrary<number>): fc.Arbitrary<ModelEvent> =>
  fc.oneof(
    fc.record({
      ...{
        kind: fc.constant('stop' as const),
        atMs,
        daemon: relativeDaemon,
        downMs: integer(300, 3_000),
      },
    }),
    kill(atMs),
    kill(atMs),
    kill(atMs),
    fc.record({
      ...{
        kind: fc.constantFrom('freeze' as const, 'suspend' as const),
        atMs,
        daemon: relativeDaemon,
      },
      forMs: fc.oneof(integer(200, 1_500), integer(2_500, 4_500)),
    }),
    fc.record({
      ...{
        kind: fc.constant('cut-daemons' as const),
        atMs,
        daemon: relativeDaemon,
        other: relativeDaemon,
        direction,
      },
      fault: fc.constantFrom('silent' as const, 'held-up' as const),
      forMs: integer(200, 4_000),
    }),
    fc.record({
      ...{ kind: fc.constant('cut-store' as const), atMs, daemon: relativeDaemon, direction },
      forMs: integer(200, 4_000),
    }),
  );

const worker: fc.Arbitrary<WorkerChoice> = fc.oneof(
  { weight: 3, arbitrary: fc.constant({ kind: 'running' as const, job: 0 }) },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant('numbered' as const), index: fc.nat({ max: 5 }) }),
  },
);

const cutOff = (atMs: fc.Arbitrary<number>): fc.Arbitrary<ModelEvent> =>
  fc.record({
    ...{ kind: fc.constant('cut' as const), atMs, worker, direction },
    daemon: fc.option(relativeDaemon, { nil: null }),
    fault: fc.constantFrom('silent' as const, 'refusing' as const, 'held-up' as const),
    forMs: integer(200, 4_000),
  });

const faultyAnswers = (atMs: fc.Arbitrary<number>): fc.Arbitrary<ModelEvent> =>
  fc.record({
    ...{ kind: fc.constant('worker-fault' as const), atMs, worker },
    fault: fc.constantFrom('mute' as const, 'refusing' as const, 'late' as const),
    lateByMs: fc.constantFrom(700, 2_300),
    forMs: integer(200, 4_000),
  });

const workerTrouble = (atMs: fc.Arbitrary<number>): fc.Arbitrary<ModelEvent> =>
  fc.oneof(
    cutOff(atMs),
    cutOff(atMs),
    faultyAnswers(atMs),
    faultyAnswers(atMs),
    fc.record({
      ...{ kind: fc.constant('crash' as const), atMs, worker, downMs: integer(100, 3_000) },
      down: fc.constantFrom('refused' as const, 'silent' as const),
    }),
    fc.record({
      ...{ kind: fc.constant('drain' as const), atMs, worker, drainMs: integer(1_500, 3_000) },
    }),
  );

/** Moves an event by a time, and gives the daemons that it names the numbers that they have from a first one on. */
const place = (event: ModelEvent, ms: number, firstDaemon: number): ModelEvent => {
  const moved = { ...event, atMs: event.atMs + ms };
  switch (moved.kind) {
    case 'stop':
    case 'kill':
    case 'freeze':
    case 'suspend':
    case 'cut-store':
    case 'inbound':
    case 'reset':
      return { ...moved, daemon: moved.daemon + firstDaemon };
    case 'cut':
    case 'slow':
      return { ...moved, daemon: moved.daemon === null ? null : moved.daemon + firstDaemon };
    case 'cut-daemons':
      return { ...moved, daemon: moved.daemon + firstDaemon, other: moved.other + firstDaemon };
    case 'crash':
    case 'drain':
    case 'worker-fault':
    case 'invalid-entry':
    case 'expire-entry':
    case 'submit':
    case 'cancel':
      return moved;
    default:
      return unreachable(moved);
  }
};

/** A calm fleet with jobs, and when and whom the troubles hit. */
interface Scene {
  readonly calm: Pick<Scenario, 'daemons' | 'workers' | 'events'>;
  readonly firstDaemon: number;
  readonly troubleAtMs: number;
}

const drawnScene: fc.Arbitrary<Scene> = fc
  .record({ topology, job, load, troubleAtMs: integer(submitAtMs + 300, submitAtMs + 1_500) })
  .map(({ topology: { daemons, domains }, job: met, load: jobs, troubleAtMs }) => ({
    calm: {
      daemons: [...daemons],
      workers: [
        ...domains.map((domain) => ({ domain, label: 'b' })),
        ...daemons.map((domain) => ({ domain, label: 'a' })),
      ],
      events: [{ kind: 'submit', atMs: submitAtMs, job: met }, ...jobs],
    },
    ...{ firstDaemon: met.daemon, troubleAtMs },
  }));

/** A situation of the walks. */
const walkedScene: fc.Arbitrary<Scene> = fc
  .record({ situation: fc.constantFrom(...situations), laterMs: integer(0, heartbeatPeriodMs) })
  .map(({ situation: { calm, requester: firstDaemon, troubleAtMs }, laterMs }) => ({
    ...{ calm, firstDaemon, troubleAtMs: troubleAtMs + laterMs },
  }));

/** Scenarios of a daemon's and a worker's trouble, with a third trouble in every second one. */
export const daemonAndWorkerArbitrary: fc.Arbitrary<Scenario> = fc
  .record({
    seed: fc.nat({ max: 1_000 }),
    scene: fc.oneof({ weight: 3, arbitrary: walkedScene }, { weight: 1, arbitrary: drawnScene }),
    ofDaemon: daemonTrouble(fc.constant(0)),
    ofWorker: workerTrouble(offset),
    thirds: fc.oneof(
      { weight: 2, arbitrary: fc.constant([]) },
      { weight: 1, arbitrary: daemonTrouble(offset).map((one) => [one]) },
      { weight: 1, arbitrary: workerTrouble(offset).map((one) => [one]) },
    ),
    startsStateLifetime: fc.boolean(),
  })
  .map(({ seed, scene, ofDaemon, ofWorker, thirds, startsStateLifetime }) => ({
    ...{ ...scene.calm, seed, startsStateLifetime },
    events: [
      ...scene.calm.events,
      ...[ofDaemon, ofWorker, ...thirds].map((event) =>
        place(event, scene.troubleAtMs, scene.firstDaemon),
      ),
    ],
  }));
