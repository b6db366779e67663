import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  closeDispatcher,
  createDispatcherFixture,
  firstTaskName,
  isFirstTask,
  patientBatch,
  runToEnd,
} from '../testing/dispatcherFixture.js';
import type { DispatcherFixture, DispatcherFixtureOptions } from '../testing/dispatcherFixture.js';
import { countLosses } from './taskLosses.js';

const workerCount = 6;

/** Down for so short that the next lifetime begins before the lease of the run could end. */
const shortDownMs = 100;
/** Expected run time of a task that has just begun when its worker is back. */
const longMs = 1_000;

const createFixture = (
  changes: Partial<DispatcherFixtureOptions> = {},
): Promise<DispatcherFixture> =>
  createDispatcherFixture({ workerCount, crashesWorker: isFirstTask, ...changes });

// Guards against a task that takes one worker after the other with it, and against a failure without proof.
test('a task under which two workers crash before it can be over is not started again, and has not failed', async () => {
  const fixture = await createFixture({ crashDownMs: shortDownMs });
  const [end] = await runToEnd(fixture, patientBatch(1, { estimatedMs: longMs }));
  assert.is(fixture.workers.startsOf(firstTaskName).length, 2);
  assert.is(end?.kind, 'withdrawn');
  await closeDispatcher(fixture);
});

// Guards against a sixth start of a deadly task whose crashes all show only when it was expected to be over.
test('a task whose workers crash silently when it may be over is started five times at most', async () => {
  const fixture = await createFixture({ crashDownMs: shortDownMs, down: 'silent' });
  const [end] = await runToEnd(fixture, patientBatch(1, { estimatedMs: 60 }));
  assert.is(fixture.workers.startsOf(firstTaskName).length, 5);
  assert.is(end?.kind, 'withdrawn');
  await closeDispatcher(fixture);
});

// Guards against a deadly task that goes on, since its workers are down for longer than the lease of its run.
test('a task under which two workers have likely crashed is not started again, and has not failed', async () => {
  const fixture = await createFixture();
  const [end] = await runToEnd(fixture, patientBatch(1));
  assert.is(fixture.workers.startsOf(firstTaskName).length, 2);
  assert.is(end?.kind, 'withdrawn');
  await closeDispatcher(fixture);
});

// Guards against a sixth start of a deadly task whose workers are silent until they are back, and against a failure without proof.
test('a task whose workers crash silently is started five times at most, and has not failed', async () => {
  for (const crashDownMs of [1_300, 3_000, 9_000]) {
    const fixture = await createFixture({ crashDownMs, down: 'silent' });
    const [end] = await runToEnd(fixture, patientBatch(1));
    assert.is(fixture.workers.startsOf(firstTaskName).length, 5, `down for ${crashDownMs}`);
    assert.is(end?.kind, 'withdrawn');
    await closeDispatcher(fixture);
  }
});

// Guards against crashes that are not counted where the worker is back, silently, before its lease could end.
test('a silent crash that the next lifetime makes likely counts', async () => {
  const fixture = await createFixture({ crashDownMs: shortDownMs, down: 'silent' });
  const [end] = await runToEnd(fixture, patientBatch(1, { estimatedMs: longMs }));
  assert.is(fixture.workers.startsOf(firstTaskName).length, 2);
  assert.is(end?.kind, 'withdrawn');
  await closeDispatcher(fixture);
});

// Guards against a task that crashes more workers when its job is submitted again after its deadline.
test('a task is remembered after its job has ended', async () => {
  const fixture = await createFixture();
  await runToEnd(fixture, patientBatch(1, { giveUpInMs: 500, expiresInMs: 500 }), 500);
  fixture.dispatcher.withdraw('b-1');
  await fixture.clock.advance(2_000);
  assert.is(countLosses(fixture.dispatcher.suspects.lossesOf(firstTaskName)).lostWorkers, 1);
  const [end] = await runToEnd(fixture, patientBatch(1, { batchId: 'b-2' }));
  assert.is(fixture.workers.startsOf(firstTaskName).length, 2);
  assert.is(end?.kind, 'withdrawn');
  await closeDispatcher(fixture);
});

// Guards against callers who lose their jobs to a task of another job on the same worker.
test('a task that shared a crashed worker with another is done on its next worker', async () => {
  const fixture = await createFixture();
  const ends = await runToEnd(fixture, patientBatch(workerCount * 2));
  assert.is(ends.filter(({ kind }) => kind === 'done').length, workerCount * 2 - 1);
  const repeated = fixture.workers.starts.filter(({ run }) => run > 1);
  assert.ok(repeated.length > 1);
  assert.ok(repeated.every(({ besides }) => besides.length === 0));
  const alone = new Map(repeated.map((start) => [start.workerId, start]));
  const joined = fixture.workers.starts.filter(
    ({ workerId, atMs, besides }) =>
      atMs >= (alone.get(workerId)?.atMs ?? Infinity) &&
      besides.includes(alone.get(workerId)?.taskName ?? ''),
  );
  assert.is(joined.length, 0);
  await closeDispatcher(fixture);
});

// Guards against a suspect that waits for a worker that is gone itself.
test('a suspect gives up the worker that is kept free for it when that one does not answer', async () => {
  const fixture = await createDispatcherFixture({ workerCount: 3, runMs: 400 });
  const { clock, dispatcher, workers } = fixture;
  const busy = { batchId: 'b-0', jobId: '0000000000000002', estimatedMs: 400 };
  void dispatcher.run('vm', patientBatch(6, busy));
  dispatcher.recordSuspects([{ taskName: firstTaskName, lostWorkers: 1 }], 'own-domain');
  const ended = dispatcher.run('vm', patientBatch(1));
  await clock.advance(50);
  assert.is(workers.startsOf(firstTaskName).length, 0);
  void workers.crash('i-0');
  void workers.crash('i-1');
  await clock.advance(1_000);
  assert.equal(
    (await ended).ends.map(({ kind }) => kind),
    ['done'],
  );
  assert.equal(
    workers.startsOf(firstTaskName).map(({ workerId, besides }) => [workerId, ...besides]),
    [['i-2']],
  );
  await closeDispatcher(fixture);
});

test.run();
