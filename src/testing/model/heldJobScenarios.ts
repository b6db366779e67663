/**
 * Orders of events in which a daemon holds many jobs, while callers of some of them have left unnoticed.
 */
import type { Scenario } from './modelEvents.js';
import { createScenario, submit } from './scenarios.js';

const longJobCount = 30;
const leftJobCount = 15;
/** Time between two jobs, in milliseconds. */
const longJobPeriodMs = 2;
const leftJobPeriodMs = 7;
const waitingMs = 25_000;

/** A daemon holds 45 jobs; the callers of the last 15 have left, whose ends are lost, and come to another daemon. */
export const manyHeldJobs: Scenario = {
  ...createScenario(
    ['east', 'west', 'north'],
    [
      ['east', 12],
      ['west', 12],
      ['north', 12],
    ],
    [
      { kind: 'inbound', atMs: 1_000, daemon: 0, fault: { kind: 'lost-ends' }, forMs: 12_000 },
      ...Array.from({ length: longJobCount }, (_, index) =>
        submit(1_500 + longJobPeriodMs * index, {
          ...{ daemon: 0, nextDaemonStep: 3, tasks: 1, runMs: 9_000, estimatedMs: 9_000 },
          ...{ cpuMillis: 100, deadlineMs: waitingMs, maxAttempts: 1 },
        }),
      ),
      ...Array.from({ length: leftJobCount }, (_, index) =>
        submit(2_500 + leftJobPeriodMs * index, {
          ...{ daemon: 0, nextDaemonStep: 1, tasks: 2, runMs: 4_000, estimatedMs: 4_000 },
          ...{ cpuMillis: 100, deadlineMs: waitingMs, maxAttempts: 2, leavesAfterMs: 300 },
        }),
      ),
    ],
  ),
  seed: 9,
  startsStateLifetime: true,
};
