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
import type { DispatcherFixture } from '../testing/dispatcherFixture.js';

const workerCount = 6;

const createFixture = (): Promise<DispatcherFixture> =>
  createDispatcherFixture({ workerCount, crashesWorker: isFirstTask });

// Guards against a task that takes one worker after the other with it.
test('a task under which two workers have crashed is not started again', async () => {
  const fixture = await createFixture();
  const [end] = await runToEnd(fixture, patientBatch(1));
  assert.is(fixture.workers.startsOf(firstTaskName).length, 2);
  assert.is(end?.kind, 'failed');
  await closeDispatcher(fixture);
});

// Guards against a task that crashes more workers when its job is submitted again after its deadline.
test('a task is remembered after its job has ended', async () => {
  const fixture = await createFixture();
  await runToEnd(fixture, patientBatch(1, { giveUpInMs: 500, expiresInMs: 500 }), 500);
  fixture.dispatcher.withdraw('b-1');
  await fixture.clock.advance(2_000);
  assert.is(fixture.dispatcher.suspects.countsOf(firstTaskName).lostWorkers, 1);
  const [end] = await runToEnd(fixture, patientBatch(1, { batchId: 'b-2' }));
  assert.is(fixture.workers.startsOf(firstTaskName).length, 2);
  assert.is(end?.kind, 'failed');
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
  dispatcher.suspects.recordAnnounced({ taskName: firstTaskName, lostWorkers: 1 });
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
