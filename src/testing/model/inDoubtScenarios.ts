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
