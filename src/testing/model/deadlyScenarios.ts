/**
 * Orders of events with a task that crashes its workers, in which no daemon alone sees all of its crashes.
 */
import type { Scenario } from './modelEvents.js';
import { createScenario, submit } from './scenarios.js';

/** Two daemons share the starts of a deadly task; one of them is suspended, and workers crash beside it, too. */
export const lossesOfTwoDaemonsScenario: Scenario = {
  ...createScenario(
    ['east', 'west'],
    [
      ['east', 1],
      ['west', 1],
    ],
    [
      submit(1_476, {
        ...{ daemon: 1, nextDaemonStep: 2, runMs: 880, estimatedMs: 880, cpuMillis: 5_000 },
        ...{ deadlineMs: 19_330, maxAttempts: 8, isDeadly: true },
      }),
      { kind: 'suspend', atMs: 1_849, daemon: 1, forMs: 934 },
      {
        ...{ kind: 'crash', atMs: 4_505, down: 'silent', downMs: 489 },
        worker: { kind: 'numbered', index: 1 },
      },
      {
        ...{ kind: 'crash', atMs: 5_262, down: 'silent', downMs: 1_103 },
        worker: { kind: 'running', job: 0 },
      },
    ],
  ),
  seed: 401_167,
  guardsCapacity: true,
};

/** The requester of a deadly task is killed; its successor gets the third attempt, after crashes at the other daemon. */
export const lossesOfKilledDaemonScenario: Scenario = {
  ...createScenario(
    ['east', 'east'],
    [['east', 4]],
    [
      submit(1_940, {
        ...{ runMs: 122, estimatedMs: 122, cpuMillis: 20_000 },
        ...{ deadlineMs: 9_382, maxAttempts: 3, isDeadly: true },
      }),
      { kind: 'kill', atMs: 2_884, daemon: 0, downMs: 1_148 },
    ],
  ),
  seed: 200_495,
  guardsCapacity: true,
};

/** Each run of a deadly task is ordered to stop as overdue just as it crashes its worker; the fifth ends with its job. */
export const overdueDeadlyTaskScenario: Scenario = {
  ...createScenario(
    ['east', 'east', 'west'],
    [],
    [
      submit(1_000, {
        ...{ daemon: 2, nextDaemonStep: 1, runMs: 3_324, estimatedMs: 1_330, cpuMillis: 10_000 },
        ...{ deadlineMs: 20_000, maxAttempts: 3, isDeadly: true, requiredLabel: 'b' },
      }),
    ],
  ),
  workers: [
    ...['east', 'east', 'east', 'east', 'west', 'west'].map((domain) => ({ domain, label: 'b' })),
    ...['east', 'east', 'west'].map((domain) => ({ domain, label: 'a' })),
  ],
  seed: 893,
};

/** The daemon that has found a crash under a deadly task likely is killed before its next heartbeat, as the one before was. */
export const crashFoundBeforeKillScenarios: readonly Scenario[] = [6_100, 6_200, 6_300].map(
  (killedAtMs) => ({
    ...createScenario(
      ['east', 'east'],
      [['east', 4]],
      [
        submit(1_000, {
          ...{ runMs: 122, estimatedMs: 122, cpuMillis: 20_000 },
          ...{ deadlineMs: 9_400, maxAttempts: 4, isDeadly: true },
        }),
        { kind: 'kill', atMs: 2_000, daemon: 0, downMs: 3_000 },
        { kind: 'kill', atMs: killedAtMs, daemon: 1, downMs: 3_000 },
      ],
    ),
    seed: 5,
  }),
);
