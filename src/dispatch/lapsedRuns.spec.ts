import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { batchFixture } from '../testing/dispatchFixtures.js';
import { FakeClock } from '../testing/fakeClock.js';
import { LapsedRuns } from './lapsedRuns.js';
import { OpenBatch } from './openBatch.js';
import type { AnsweringLifetime } from './workerLifetime.js';

const workerId = 'i-1';
const lifetimeMs = 5;

/** A run that began at 0 in the given lifetime and has lapsed now. */
const createLapsed = (ofLifetimeMs: number | undefined) => {
  const clock = FakeClock.create();
  const runs = LapsedRuns.create(clock);
  const [task] = OpenBatch.create('vm', batchFixture, 0).tasks;
  assert.ok(task);
  runs.remember({ workerId, taskName: 't', task, lifetimeMs: ofLifetimeMs, startedAtMs: 0 });
  return {
    clock,
    countCrashes: (answering: AnsweringLifetime) => runs.resolve(workerId, answering).length,
  };
};

const reported = (startedAtMs: number, earliestStartMs: number): AnsweringLifetime => ({
  kind: 'reported',
  startedAtMs,
  earliestStartMs,
});

// Guards against a crash that counts under a task whose worker was only cut off.
test('a worker that reports in the same lifetime again has not crashed', () => {
  assert.is(createLapsed(lifetimeMs).countCrashes(reported(lifetimeMs, -Infinity)), 0);
});

// Guards against a task that takes one worker after the other with it, since crashes are not counted.
test('a crash is proved by a later lifetime, by its clock, or by another worker at the address', () => {
  assert.is(createLapsed(lifetimeMs).countCrashes(reported(6, -Infinity)), 1);
  assert.is(createLapsed(undefined).countCrashes(reported(6, 1)), 1);
  assert.is(createLapsed(undefined).countCrashes(reported(6, -1)), 0);
  assert.is(createLapsed(lifetimeMs).countCrashes({ kind: 'replaced' }), 1);
});

// Guards against a job that fails for a restart long after its worker was cut off.
test('a restart that shows late counts as no crash under a run that lapsed before', async () => {
  const { clock, countCrashes } = createLapsed(lifetimeMs);
  await clock.advance(6_000);
  assert.is(countCrashes(reported(6, 1)), 0);
});

test.run();
