import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { batchFixture, workerFixture } from '../testing/dispatchFixtures.js';
import { FakeClock } from '../testing/fakeClock.js';
import { LapsedRuns } from './lapsedRuns.js';
import type { LapsedRun } from './lapsedRuns.js';
import type { LifetimeEnd } from './lifetimeEnd.js';
import { OpenBatch } from './openBatch.js';
import type { AnsweringLifetime } from './workerLifetime.js';

const workerId = 'i-1';
const lifetimeMs = 5;
/** End of the last lease that the worker acknowledged. */
const coveredUntilMs = 900;

/** Expected run time, longer than the lease. */
const expectedMs = 1_000;

/** A run that began at 0 in the given lifetime and has lapsed now. */
const createLapsed = (ofLifetimeMs: number | undefined, changes: Partial<LapsedRun> = {}) => {
  const clock = FakeClock.create();
  const runs = LapsedRuns.create();
  const [task] = OpenBatch.create('vm', batchFixture, 0).tasks;
  assert.ok(task);
  runs.remember({
    ...{ workerId, taskName: 't', lossId: 'b-1.1', listedStartMs: lifetimeMs, task },
    ...{ lifetimeMs: ofLifetimeMs, startSentAtMs: 0 },
    ...{ expectedMs, startedAtMs: 0, coveredUntilMs, disconnectedAtMs: undefined },
    ...changes,
  });
  const resolve = (answering: AnsweringLifetime): LifetimeEnd[] =>
    runs.resolve(workerId, answering).map(({ end }) => end);
  return {
    clock,
    runs,
    resolve,
    countCrashes: (answering: AnsweringLifetime) =>
      resolve(answering).filter(({ kind }) => kind === 'likely-under-run').length,
  };
};

/** A lifetime that certainly began before the end of the lease, unless stated otherwise. */
const reported = (
  startedAtMs: number,
  earliestStartMs: number,
  latestStartMs = coveredUntilMs - 1,
): AnsweringLifetime => ({ kind: 'reported', startedAtMs, earliestStartMs, latestStartMs });

// Guards against a crash that counts under a task whose worker was only cut off.
test('a worker that reports in the same lifetime again has not crashed', () => {
  assert.equal(createLapsed(lifetimeMs).resolve(reported(lifetimeMs, -Infinity)), [
    { kind: 'none' },
  ]);
  assert.equal(createLapsed(undefined).resolve(reported(lifetimeMs, -200, -100)), [
    { kind: 'none' },
  ]);
});

// Guards against a task that takes one worker after the other with it, since crashes are not counted.
test('a later lifetime that began while an acknowledged lease covered the run makes a crash likely', () => {
  assert.equal(createLapsed(lifetimeMs).resolve(reported(6, -Infinity)), [
    { kind: 'likely-under-run', sign: 'early-restart', beforeLeaseEndMs: 1 },
  ]);
  assert.is(createLapsed(undefined).countCrashes(reported(6, 1)), 1);
  assert.is(createLapsed(undefined).countCrashes(reported(6, -1)), 0);
});

// Guards against a job that is given up since its run ended unheard behind a cut, before its worker crashed there.
test('a later lifetime that began after the expected end of the run makes no crash likely', () => {
  const short = { expectedMs: coveredUntilMs - 100 };
  assert.equal(createLapsed(lifetimeMs, short).resolve(reported(6, 1, coveredUntilMs - 100)), [
    { kind: 'unclear', afterLeaseEndMs: -100 },
  ]);
  assert.is(createLapsed(lifetimeMs, short).countCrashes(reported(6, 1, coveredUntilMs - 101)), 1);
});

// Guards against a job that is given up since its worker crashed behind a cut, when nothing of it ran there any more.
test('a lifetime that began after the end of the lease, or that has another worker, makes no crash likely', () => {
  const { resolve } = createLapsed(lifetimeMs);
  assert.equal(resolve(reported(6, 1, coveredUntilMs + 30)), [
    { kind: 'unclear', afterLeaseEndMs: 30 },
  ]);
  assert.is(createLapsed(lifetimeMs).countCrashes({ kind: 'replaced' }), 0);
  const unacknowledged = createLapsed(lifetimeMs, { coveredUntilMs: -Infinity });
  assert.is(unacknowledged.countCrashes(reported(6, 1)), 0);
});

// Guards against a cut that resets connections being taken for the crash behind it, and against many more starts.
test('a connection that broke while the lease covered the run makes a crash likely', () => {
  const disconnected = { disconnectedAtMs: coveredUntilMs - 200 };
  const likely = [{ kind: 'likely-under-run', sign: 'broken-connection', beforeLeaseEndMs: 200 }];
  const later = reported(6, 1, coveredUntilMs + 3_000);
  assert.equal(createLapsed(lifetimeMs, disconnected).resolve(later), likely);
  assert.equal(createLapsed(lifetimeMs, disconnected).resolve({ kind: 'replaced' }), likely);
  assert.equal(createLapsed(lifetimeMs, disconnected).resolve(reported(lifetimeMs, 1)), [
    { kind: 'none' },
  ]);
});

// Guards against a job that is given up for a restart long after its worker was cut off.
test('a restart that shows late counts as no crash under a run that lapsed before', async () => {
  const { clock, countCrashes } = createLapsed(lifetimeMs);
  await clock.advance(6_000);
  assert.is(countCrashes(reported(6, 1, 5_990)), 0);
});

// Guards against likely crashes that are taken for unclear ones, since another daemon dispatches to the worker by now.
test('the entry of a later lifetime makes a crash likely if the connection broke under the lease', () => {
  const listed = (startedAtMs: number) => [{ ...workerFixture, workerId, startedAtMs }];
  const broken = createLapsed(lifetimeMs, { disconnectedAtMs: coveredUntilMs - 200 }).runs;
  assert.equal(broken.resolveListed(listed(lifetimeMs)), []);
  assert.equal(broken.resolveListed(listed(lifetimeMs - 1)), []);
  assert.equal(
    broken.resolveListed(listed(lifetimeMs + 1)).map(({ end }) => end.kind),
    ['likely-under-run'],
  );
  assert.equal(broken.resolveListed(listed(lifetimeMs + 1)), []);
  const { runs, resolve } = createLapsed(lifetimeMs);
  assert.equal(runs.resolveListed(listed(lifetimeMs + 1)), []);
  assert.is(resolve(reported(6, 1)).length, 1);
});

// Guards against a deadly task that is started for ever, since its workers are cut off when they come back.
test('a crash under the run counts however late it shows', async () => {
  const { clock, countCrashes } = createLapsed(lifetimeMs);
  await clock.advance(6_000);
  assert.is(countCrashes(reported(6, 1)), 1);
});

test.run();
