/**
 * Orders of events in which a caller leaves and the end of its connection is lost or late, so that its daemon runs the job
 * on while the next attempt comes to another one.
 */
import type { ModelEvent, Scenario } from './modelEvents.js';
import { createScenario, submit } from './scenarios.js';

const loseEnds = (atMs: number, daemon: number, forMs: number): ModelEvent => ({
  ...{ kind: 'inbound', atMs, daemon, forMs },
  fault: { kind: 'lost-ends' },
});

const mixedDomains = ['east', 'west', 'east'];

/** The attempts come to daemons of other failure domains; other jobs are under way, so that the first one starts late. */
export const lostEndAcrossDomains: Scenario = {
  ...createScenario(
    mixedDomains,
    [
      ['east', 3],
      ['west', 1],
    ],
    [
      submit(2_494, {
        ...{ runMs: 1_695, estimatedMs: 565, cpuMillis: 2_000, deadlineMs: 2_237 },
        leavesAfterMs: 350,
      }),
      submit(1_310, {
        ...{ daemon: 1, tasks: 3, runMs: 511, estimatedMs: 128, deadlineMs: 1_109 },
      }),
      submit(1_313, {
        ...{ daemon: 2, tasks: 3, runMs: 343, estimatedMs: 343, deadlineMs: 3_308 },
        maxAttempts: 8,
      }),
      loseEnds(2_522, 0, 2_153),
    ],
  ),
  seed: 200_290,
  startsStateLifetime: true,
};

/** The next attempt comes to a daemon of the same failure domain. */
export const lostEndInDomain: Scenario = {
  ...createScenario(
    mixedDomains,
    [
      ['east', 1],
      ['west', 2],
      ['east', 1],
      ['west', 1],
    ],
    [
      submit(2_895, {
        ...{ nextDaemonStep: 2, tasks: 3, runMs: 2_044, estimatedMs: 2_044, cpuMillis: 2_000 },
        ...{ deadlineMs: 3_402, leavesAfterMs: 417 },
      }),
      loseEnds(2_577, 0, 2_965),
    ],
  ),
  seed: 200_984,
  startsStateLifetime: true,
};

/** All daemons are slow, so that what they tell each other is late, too, and the third attempt is the one that runs on. */
const lostEndBesideSlowDaemons = (slowAtMs: number, turnMs: number): Scenario => ({
  ...createScenario(
    ['east', 'east', 'east'],
    [['east', 3]],
    [
      submit(1_903, {
        ...{ daemon: 1, nextDaemonStep: 2, tasks: 3, runMs: 825, estimatedMs: 825 },
        ...{ deadlineMs: 5_635, leavesAfterMs: 295 },
      }),
      loseEnds(2_588, 2, 3_098),
      { kind: 'slow', atMs: slowAtMs, daemon: null, turnsMs: [turnMs], forMs: 5_182 },
    ],
  ),
  seed: 201_716,
  startsStateLifetime: true,
});

/** The daemon that reads the fourth attempt has heard by then that the third one runs. */
export const lostEndAndHeardClaim = lostEndBesideSlowDaemons(1_487, 429);
/** The daemon that reads the next attempt hears only afterwards that the one before runs. */
export const lostEndAndUnheardClaim = lostEndBesideSlowDaemons(1_260, 345);

const waitingDaemons = [0, 1] as const;

/**
 * Two attempts that are 10 ms apart wait for a killed daemon and then for each other, while the answers to both are held up for
 * longer than the 0.6 s in which daemons usually answer.
 */
export const lateAnswersToWaitingAttempts: Scenario = {
  ...createScenario(
    ['east', 'east', 'east'],
    [['east', 6]],
    [
      submit(1_000, {
        ...{ daemon: 2, nextDaemonStep: 1, runMs: 9_000, estimatedMs: 9_000, cpuMillis: 2_000 },
        ...{ deadlineMs: 25_000, leavesAfterMs: 2_500, maxAttempts: 3 },
      }),
      ...[0, 1, 2].map((daemon) => loseEnds(500, daemon, 6_900)),
      { kind: 'slow', atMs: 4_700, daemon: 0, turnsMs: [60], forMs: 400 },
      { kind: 'reset', atMs: 4_803, daemon: 0 },
      { kind: 'kill', atMs: 5_300, daemon: 2, downMs: 30_000 },
      ...waitingDaemons.map((daemon): ModelEvent => ({
        ...{ kind: 'inbound', atMs: 7_500, daemon, forMs: 4_000 },
        fault: { kind: 'late-all', byMs: 100 },
      })),
      ...waitingDaemons.map((daemon): ModelEvent => ({
        ...{ kind: 'freeze', atMs: 7_700, daemon, forMs: 700 },
      })),
    ],
  ),
  seed: 3,
  startsStateLifetime: true,
};
