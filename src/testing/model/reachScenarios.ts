/**
 * Orders of events in which a daemon is in trouble while one of its workers, or a worker of its dispatcher, is out of
 * reach.
 */
import type { ModelEvent } from './modelEvents.js';
import { createScenario, submit } from './scenarios.js';

const eastAndWest = ['east', 'east', 'west'];

/** A requester is killed and soon back, while a worker of its dispatcher refuses all orders. */
export const refusingWorkerOfLostRequesterScenario = createScenario(
  eastAndWest,
  [
    ['east', 4],
    ['west', 2],
  ],
  [
    submit(1_260, {
      ...{ daemon: 2, nextDaemonStep: 3, tasks: 9 },
      ...{ runMs: 6_176, estimatedMs: 3_705.6 },
    }),
    { kind: 'kill', atMs: 2_124, daemon: 2, downMs: 455 },
    {
      ...{ kind: 'worker-fault', atMs: 2_555, fault: 'refusing', forMs: 2_435 },
      worker: { kind: 'numbered', index: 1 },
    },
  ],
);

/** A requester is killed, and its dispatcher freezes before it can stop the runs. */
export const frozenDispatcherOfKilledRequesterScenario = {
  ...createScenario(
    eastAndWest,
    [
      ['east', 3],
      ['east', 5, 'b'],
      ['east', 1],
      ['west', 1, 'b'],
      ['east', 4],
      ['west', 4, 'b'],
    ],
    [
      submit(1_134, {
        ...{ nextDaemonStep: 2, tasks: 5, runMs: 2_317, estimatedMs: 939, deadlineMs: 1_500 },
        requiredLabel: 'b',
      }),
      { kind: 'kill', atMs: 1_591, daemon: 0, downMs: 2_993 },
      { kind: 'freeze', atMs: 2_049, daemon: 1, forMs: 1_077 },
    ],
  ),
  seed: 421,
  startsStateLifetime: true,
};

/** A task of one caller starts beside those of a requester that was killed, on a worker that is cut off then. */
export const startBesideLostRequesterScenario = createScenario(
  eastAndWest,
  [['east', 3]],
  [
    submit(1_000, { daemon: 2, nextDaemonStep: 2, tasks: 3, runMs: 6_000, estimatedMs: 5_000 }),
    { kind: 'kill', atMs: 1_910, daemon: 2, downMs: 3_000 },
    submit(2_760, { daemon: 1, runMs: 60, estimatedMs: 60, deadlineMs: 3_000 }),
    {
      ...{ kind: 'cut', atMs: 2_780, daemon: null, fault: 'silent', forMs: 3_000 },
      worker: { kind: 'numbered', index: 0 },
    },
  ],
);

/** A worker is cut off for longer than its leases, and crashes only then. */
const crashBehindCut = (atMs: number, index: number): ModelEvent[] => [
  {
    ...{ kind: 'cut', atMs, daemon: null, fault: 'silent', forMs: 2_300 },
    worker: { kind: 'running', job: 0 },
  },
  {
    ...{ kind: 'crash', atMs: atMs + 1_600, down: 'silent', downMs: 300 },
    worker: { kind: 'numbered', index },
  },
];

/** A worker is cut off just before its run ends there, and crashes just after it. */
const crashBehindUnheardEnd = (atMs: number, index: number): ModelEvent[] => [
  {
    ...{ kind: 'cut', atMs, daemon: null, fault: 'silent', forMs: 145 },
    worker: { kind: 'numbered', index },
  },
  {
    ...{ kind: 'crash', atMs: atMs + 80, down: 'silent', downMs: 60 },
    worker: { kind: 'numbered', index },
  },
];

/** Two workers crash while the lease covers a run that has ended there as done, of which nobody has heard. */
export const crashesAfterUnheardEndsScenario = {
  ...createScenario(
    ['east', 'east'],
    [['east', 2]],
    [
      submit(1_000, { runMs: 1_000, estimatedMs: 1_000, maxAttempts: 1 }),
      ...crashBehindUnheardEnd(1_950, 1),
      ...crashBehindUnheardEnd(2_690, 0),
    ],
  ),
  seed: 5,
  startsStateLifetime: true,
};

/** The two workers that run a task one after the other crash when its leases there have ended. */
export const crashesAfterLeasesScenario = {
  ...createScenario(
    ['east', 'east'],
    [['east', 3]],
    [
      submit(1_000, { runMs: 6_000, estimatedMs: 6_000 }),
      ...crashBehindCut(2_000, 2),
      ...crashBehindCut(4_500, 0),
    ],
  ),
  seed: 5,
};
