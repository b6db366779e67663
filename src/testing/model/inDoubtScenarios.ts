/**
 * Orders of events in which a start gets no answer, and its worker crashes before the start can arrive.
 */
import type { LinkFault } from './modelNetwork.js';
import type { Scenario } from './modelEvents.js';
import { createScenario, submit } from './scenarios.js';

/** When the start is sent, in milliseconds of the scenario. */
const startAtMs = 1_253;

export interface InDoubtOptions {
  readonly tasks: number;
  /** How orders to the worker are disturbed: held up by its link, or carried out late. */
  readonly trouble: Extract<LinkFault, 'held-up'> | 'late';
  /** How long before the start the trouble begins. */
  readonly aheadMs: number;
  readonly troubleMs: number;
  /** Time after which a late order is carried out. */
  readonly lateByMs?: number;
  /** How long after the start the worker crashes. */
  readonly crashAfterMs: number;
  readonly downMs: number;
  readonly down: 'refused' | 'silent';
  readonly startsStateLifetime: boolean;
}

/** A start is held up, and its worker crashes and is back before the start arrives. */
export const createInDoubtScenario = ({
  tasks,
  trouble,
  aheadMs,
  troubleMs,
  lateByMs,
  crashAfterMs,
  downMs,
  down,
  startsStateLifetime,
}: InDoubtOptions): Scenario => {
  const worker = { kind: 'numbered', index: 0 } as const;
  const atMs = startAtMs - aheadMs;
  return {
    ...createScenario(
      ['east', 'east'],
      [['east', 3]],
      [
        submit(startAtMs, {
          ...{ daemon: 1, tasks, runMs: 1_053, estimatedMs: 1_053, deadlineMs: 10_420 },
        }),
        trouble === 'held-up'
          ? { kind: 'cut', atMs, worker, daemon: null, fault: trouble, forMs: troubleMs }
          : { kind: 'worker-fault', atMs, worker, fault: trouble, forMs: troubleMs, lateByMs },
        { kind: 'crash', atMs: startAtMs + crashAfterMs, worker, down, downMs },
      ],
    ),
    seed: 102_021,
    startsStateLifetime,
  };
};

/** The cut ends when the worker is back after a crash, so that a start of before arrives in the next lifetime. */
export const startInNextLifetimeScenario = createInDoubtScenario({
  ...{ tasks: 3, trouble: 'held-up', aheadMs: 84, troubleMs: 1_877, crashAfterMs: 1_123 },
  ...{ downMs: 466, down: 'refused', startsStateLifetime: false },
});

/** A requester is killed while a worker carries its starts out late; the worker crashes, and the job comes elsewhere. */
export const lateStartOfKilledRequesterScenario: Scenario = {
  ...createScenario(
    ['east', 'east', 'east'],
    [['east', 3]],
    [
      submit(1_882, {
        ...{ daemon: 0, tasks: 3, runMs: 1_296, estimatedMs: 1_296 },
        ...{ cpuMillis: 5_000, deadlineMs: 17_042, maxAttempts: 3 },
      }),
      {
        ...{ kind: 'worker-fault', atMs: 1_866, worker: { kind: 'numbered', index: 2 } },
        ...{ fault: 'late', lateByMs: 2_422, forMs: 2_117 },
      },
      {
        ...{ kind: 'crash', atMs: 1_955, worker: { kind: 'numbered', index: 2 } },
        ...{ down: 'refused', downMs: 1_034 },
      },
      { kind: 'kill', atMs: 2_208, daemon: 0, downMs: 1_381 },
    ],
  ),
  seed: 9_100_946,
  startsStateLifetime: true,
};

/** A dispatcher is killed just after its start is held up; the worker crashes, and the job comes to another requester. */
export const heldUpStartOfKilledDispatcherScenario: Scenario = {
  ...createScenario(
    ['east', 'west', 'east'],
    [],
    [
      submit(2_023, {
        ...{ daemon: 2, nextDaemonStep: 2, tasks: 3, runMs: 1_699, estimatedMs: 1_699 },
        ...{ cpuMillis: 5_000, deadlineMs: 19_630, maxAttempts: 8 },
      }),
      { kind: 'kill', atMs: 3_614, daemon: 0, downMs: 787 },
      {
        ...{ kind: 'cut', atMs: 2_668, worker: { kind: 'numbered', index: 0 }, daemon: null },
        ...{ fault: 'silent', forMs: 2_168 },
      },
      {
        ...{ kind: 'cut', atMs: 3_025, worker: { kind: 'numbered', index: 2 }, daemon: 0 },
        ...{ fault: 'held-up', forMs: 1_564 },
      },
      {
        ...{ kind: 'crash', atMs: 3_663, worker: { kind: 'numbered', index: 2 } },
        ...{ down: 'silent', downMs: 398 },
      },
    ],
  ),
  workers: ['east', 'west', 'east'].map((domain) => ({ domain, label: 'a' })),
  seed: 201_916,
  guardsCapacity: true,
};

/** A worker confirms the stop of a late start and crashes; its dispatcher is suspended while the next lifetime gets the start. */
export const stoppedStartOfSuspendedDispatcherScenario: Scenario = {
  ...createScenario(
    ['east', 'west', 'east'],
    [],
    [
      submit(2_545, {
        ...{ daemon: 1, nextDaemonStep: 1, tasks: 3, runMs: 445, estimatedMs: 445 },
        ...{ cpuMillis: 20_000, deadlineMs: 8_770, maxAttempts: 8 },
      }),
      { kind: 'suspend', atMs: 4_500, daemon: 2, forMs: 912 },
      {
        ...{ kind: 'crash', atMs: 4_976, worker: { kind: 'running', job: 0 } },
        ...{ down: 'silent', downMs: 938 },
      },
      {
        ...{ kind: 'worker-fault', atMs: 2_018, worker: { kind: 'numbered', index: 0 } },
        ...{ fault: 'late', lateByMs: 2_184, forMs: 921 },
      },
      {
        ...{ kind: 'crash', atMs: 3_178, worker: { kind: 'numbered', index: 0 } },
        ...{ down: 'refused', downMs: 1_144 },
      },
      {
        ...{ kind: 'crash', atMs: 3_524, worker: { kind: 'running', job: 0 } },
        ...{ down: 'refused', downMs: 1_104 },
      },
    ],
  ),
  workers: [
    { domain: 'east', label: 'a' },
    { domain: 'west', label: 'a' },
    { domain: 'west', label: 'a' },
    { domain: 'east', label: 'a' },
  ],
  seed: 9_300_380,
  startsStateLifetime: false,
};

/** A worker confirms the stop of a late start and crashes; it is back, idle and unheard of, when the start is carried out. */
export const stoppedStartOfIdleWorkerScenario: Scenario = {
  ...createScenario(
    ['east', 'east'],
    [['east', 6]],
    [
      submit(2_558, {
        ...{ daemon: 1, nextDaemonStep: 2, tasks: 2, runMs: 1_701, estimatedMs: 1_701 },
        ...{ cpuMillis: 20_000, deadlineMs: 7_129, maxAttempts: 1 },
      }),
      submit(2_319, {
        ...{ daemon: 1, nextDaemonStep: 1, tasks: 2, runMs: 992, estimatedMs: 992 },
        ...{ cpuMillis: 5_000, deadlineMs: 17_569, maxAttempts: 8 },
      }),
      submit(2_044, {
        ...{ daemon: 1, nextDaemonStep: 2, tasks: 2, runMs: 953, estimatedMs: 953 },
        ...{ cpuMillis: 20_000, deadlineMs: 10_111, maxAttempts: 8 },
      }),
      {
        ...{ kind: 'worker-fault', atMs: 1_669, worker: { kind: 'numbered', index: 5 } },
        ...{ fault: 'late', lateByMs: 1_441, forMs: 1_003 },
      },
      {
        ...{ kind: 'crash', atMs: 3_160, worker: { kind: 'numbered', index: 5 } },
        ...{ down: 'refused', downMs: 282 },
      },
      {
        ...{ kind: 'cut', atMs: 2_779, worker: { kind: 'numbered', index: 0 }, daemon: null },
        ...{ fault: 'silent', forMs: 1_432 },
      },
      {
        ...{ kind: 'crash', atMs: 2_787, worker: { kind: 'numbered', index: 0 } },
        ...{ down: 'silent', downMs: 987 },
      },
      {
        ...{ kind: 'crash', atMs: 2_054, worker: { kind: 'running', job: 2 } },
        ...{ down: 'silent', downMs: 151 },
      },
    ],
  ),
  seed: 9_303_143,
  startsStateLifetime: true,
};
