/**
 * Orders of events in which, for a while, no worker accepts tasks of a job of which others are at work.
 */
import type { Scenario } from './modelEvents.js';
import { createScenario, submit } from './scenarios.js';

/** Two workers take two tasks each; one of them refuses its starts for a while, and the other one drains. */
export const allWorkersClosedScenario: Scenario = createScenario(
  ['east', 'east'],
  [['east', 2]],
  [
    {
      ...{ kind: 'worker-fault', atMs: 900, fault: 'refusing', forMs: 1_500 },
      worker: { kind: 'numbered', index: 1 },
    },
    submit(1_000, { tasks: 4 }),
    { kind: 'drain', atMs: 1_100, worker: { kind: 'numbered', index: 0 }, drainMs: 8_000 },
  ],
);
