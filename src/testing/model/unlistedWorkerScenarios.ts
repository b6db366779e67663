/**
 * Orders of events in which a job needs a worker that is not listed for a while: the only one with its label is
 * down for longer than its entry lasts, and back later.
 */
import type { ModelEvent, Scenario } from './modelEvents.js';
import { createScenario, submit } from './scenarios.js';

const twoDaemons = ['east', 'east'];
const oneLabelled = [
  ['east', 2, 'a'],
  ['east', 1, 'b'],
] as const;

/** The worker with label `b` is not listed from 9 s to 12 s. */
const labelledWorkerDown: ModelEvent = {
  ...{ kind: 'crash', atMs: 1_000, down: 'refused', downMs: 11_000 },
  worker: { kind: 'numbered', index: 2 },
};

const submitLabelled = (atMs: number): ModelEvent =>
  submit(atMs, { runMs: 300, estimatedMs: 300, deadlineMs: 9_000, requiredLabel: 'b' });

/** A job needs the label while no worker with it is listed, and one needs it once the worker is back. */
export const unlistedLabelScenario: Scenario = createScenario(twoDaemons, oneLabelled, [
  labelledWorkerDown,
  submitLabelled(9_500),
  submitLabelled(14_000),
]);

/** The daemon that gets the job has restarted meanwhile: it has never seen the worker with the label. */
export const unlistedAfterRestartScenario: Scenario = createScenario(twoDaemons, oneLabelled, [
  labelledWorkerDown,
  { kind: 'kill', atMs: 5_000, daemon: 0, downMs: 500 },
  submitLabelled(9_500),
  submitLabelled(14_000),
]);

/** The daemon of a job freezes, and its worker crashes; the next attempt of the client comes to another daemon. */
export const repeatedWhileUnlistedScenario: Scenario = createScenario(twoDaemons, oneLabelled, [
  submit(900, { runMs: 3_000, estimatedMs: 3_000, deadlineMs: 9_000, requiredLabel: 'b' }),
  { kind: 'freeze', atMs: 1_000, daemon: 0, forMs: 9_000 },
  labelledWorkerDown,
  submitLabelled(14_000),
]);
