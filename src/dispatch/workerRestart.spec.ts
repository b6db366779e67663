import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  closeDispatcher,
  createDispatcherFixture,
  patientBatch,
  runToEnd,
} from '../testing/dispatcherFixture.js';
import type { DispatcherFixture } from '../testing/dispatcherFixture.js';
import type { WorkerRecord } from '../types/workers.js';

const taskCount = 6;

const createFixture = (): Promise<DispatcherFixture> =>
  createDispatcherFixture({ workerCount: 4, runMs: 2_000 });

/** A batch whose tasks leave room for two more on four workers, and take long. */
const longBatch = patientBatch(taskCount, { estimatedMs: 2_000 });

const assertOneRunEach = ({ workers }: DispatcherFixture): void => {
  assert.is(workers.starts.length, taskCount);
  assert.ok(workers.starts.some(({ workerId }) => workerId === 'i-0'));
};

/** Changes the entry of the first worker. */
const relist = ({ list, records }: DispatcherFixture, changes: Partial<WorkerRecord>): void =>
  list(records.map((record, index) => (index === 0 ? { ...record, ...changes } : record)));

// Guards against two runs of a task after its worker restarted unnoticed and accepted it.
test('a run that a restarted worker accepted is not started elsewhere when the restart is reported', async () => {
  const fixture = await createFixture();
  void fixture.workers.crash('i-0', 100);
  await fixture.clock.advance(200);
  const ends = await runToEnd(fixture, longBatch, 3_000);
  assertOneRunEach(fixture);
  assert.ok(ends.length === taskCount && ends.every(({ kind }) => kind === 'done'));
  assert.equal(fixture.dispatcher.suspects.listAnnounced('newcomer'), []);
  await closeDispatcher(fixture);
});

// Guards against two runs of a task after the entry of its restarted worker was read before a report.
test('a run that a restarted worker accepted is not started elsewhere when its new entry is read', async () => {
  const fixture = await createFixture();
  void fixture.workers.crash('i-0', 100);
  await fixture.clock.advance(200);
  void fixture.dispatcher.run('vm', longBatch);
  relist(fixture, { startedAtMs: (fixture.records[0]?.startedAtMs ?? 0) + 1 });
  await fixture.clock.advance(3_000);
  assertOneRunEach(fixture);
  await closeDispatcher(fixture);
});

// Guards against two runs of a task after another writer replaced the entry of its worker.
test('an entry that states no start, or another one, does not end runs that the worker lists', async () => {
  const fixture = await createFixture();
  void fixture.dispatcher.run('vm', longBatch);
  await fixture.clock.advance(300);
  relist(fixture, { startedAtMs: undefined });
  await fixture.clock.advance(300);
  relist(fixture, { startedAtMs: 1 });
  await fixture.clock.advance(3_000);
  assertOneRunEach(fixture);
  await closeDispatcher(fixture);
});

// Guards against two runs of a task after its worker was listed at another address.
test('runs at the earlier address of a worker are stopped before their tasks start elsewhere', async () => {
  const fixture = await createFixture();
  void fixture.dispatcher.run('vm', longBatch);
  await fixture.clock.advance(300);
  relist(fixture, { address: '127.0.0.1:99' });
  await fixture.clock.advance(2_000);
  const repeated = fixture.workers.starts.filter(({ run }) => run > 1);
  assert.ok(repeated.length > 0);
  assert.ok(repeated.every(({ elsewhere }) => elsewhere.length === 0));
  await closeDispatcher(fixture);
});

// Guards against jobs that fail since workers restart as planned, and list themselves before they report.
test('a restart that the entry announced counts as no crash, also when the new entry is read first', async () => {
  const fixture = await createFixture();
  void fixture.dispatcher.run('vm', longBatch);
  await fixture.clock.advance(300);
  relist(fixture, { state: 'draining' });
  await fixture.clock.advance(300);
  void fixture.workers.crash('i-0', 200);
  await fixture.clock.advance(150);
  relist(fixture, { startedAtMs: (fixture.records[0]?.startedAtMs ?? 0) + 1 });
  await fixture.clock.advance(400);
  assert.equal(fixture.dispatcher.suspects.listAnnounced('newcomer'), []);
  await closeDispatcher(fixture);
});

test.run();
