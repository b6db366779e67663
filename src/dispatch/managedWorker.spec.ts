import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { FakeClock } from '../testing/fakeClock.js';
import { ScriptedWorkers } from '../testing/scriptedWorkers.js';
import { silentLogger } from '../testing/silentLogger.js';
import { silentSupervisor } from '../testing/silentSupervisor.js';
import type { ReportedRun, WorkerRecord } from '../types/workers.js';
import { ActiveTasks } from './activeTasks.js';
import { UnansweredStarts } from './unansweredStarts.js';
import { unconfirmedLeaseTimes } from './leaseTimes.js';
import { ManagedWorker } from './managedWorker.js';
import { OpenBatch } from './openBatch.js';
import type { BatchedTask } from './openBatch.js';
import { describeEvidence } from './runEvidence.js';
import type { RunEvidence } from './runEvidence.js';
import type { Batch } from '../types/dispatch.js';

const leaseMs = 1_000;
const needs = { cpuMillis: 14_000, memoryMb: 64, accelerators: 0 };
const record: WorkerRecord = {
  workerId: 'i-1',
  address: '127.0.0.1:1',
  serviceId: 'fit',
  failureDomainId: 'east',
  state: 'ready',
  startedAtMs: 5,
  capacity: { cpuMillis: 32_000, memoryMb: 65_536, accelerators: 0 },
  labels: [],
};

const content: Batch = {
  batchId: 'b-1',
  jobId: '0000000000000001',
  stepIndex: 0,
  serviceId: 'fit',
  spec: '',
  needs: { resources: needs },
  estimatedMs: 100,
  objectiveInMs: 300,
  giveUpInMs: 900,
  expiresInMs: 400,
  maxWaitMs: 100,
  priority: 0,
  maxFailedRuns: 3,
  tasks: [{ index: 0, nextRun: 1, failedRuns: 0, lostWorkers: 0 }],
};

const running = (taskName: string, run = 1): ReportedRun => ({
  taskName,
  run,
});

const createFixture = () => {
  const clock = FakeClock.create();
  const workers = ScriptedWorkers.create(clock);
  const outcomes: RunEvidence[] = [];
  const worker = ManagedWorker.create({
    record,
    fencingToken: 7,
    clock,
    workers,
    logger: silentLogger,
    activeTasks: ActiveTasks.create(),
    unanswered: UnansweredStarts.create(clock),
    leaseTimes: unconfirmedLeaseTimes(leaseMs),
    supervisor: silentSupervisor(clock),
    onEnd: (_worker, _run, evidence) => void outcomes.push(evidence),
    onLifetime: () => undefined,
    onAvailabilityChange: () => undefined,
  });
  const start = (taskName: string): BatchedTask => {
    const [task] = OpenBatch.create('vm', content, clock.nowMs()).tasks;
    assert.ok(task);
    worker.start({ task, taskName, needs, expectedMs: 100 });
    return task;
  };
  return { clock, workers, worker, outcomes, start };
};

test('runs of an earlier dispatcher are stopped before any lease is renewed', async () => {
  const { clock, workers, worker } = createFixture();
  workers.report = { workerClockMs: 0, running: [running('old.0.0.0', 4)], ends: [] };
  await clock.advance(100);
  assert.not.ok(worker.isOpen);
  assert.equal(workers.stops[0], { taskName: 'old.0.0.0', run: 4, fencingToken: 7 });
  workers.report = { workerClockMs: 0, running: [], ends: [] };
  await clock.advance(100);
  assert.ok(worker.isOpen);
  assert.ok(workers.holds.every(({ leaseEndWorkerMs }) => leaseEndWorkerMs === undefined));
  await worker.close();
});

test('a refused fencing token is not used again, but a higher one is', async () => {
  const { clock, workers, worker } = createFixture();
  workers.onHold = ({ fencingToken }) =>
    fencingToken < 9
      ? { kind: 'stale-token' }
      : { kind: 'held', report: { workerClockMs: 0, running: [], ends: [] } };
  await clock.advance(6_000);
  assert.is(workers.holds.length, 1);
  worker.update(record, 9);
  await clock.advance(100);
  assert.ok(worker.isOpen);
  await worker.close();
});

test('a run whose start got no answer continues if the worker reports it', async () => {
  const { clock, workers, worker, outcomes, start } = createFixture();
  await clock.advance(50);
  workers.onStart = () => ({ kind: 'no-answer', detail: '' });
  workers.report = { workerClockMs: 0, running: [running('t.0.0.0')], ends: [] };
  start('t.0.0.0');
  await clock.advance(500);
  assert.is(workers.stops.length, 0);
  assert.is(worker.runCount, 1);
  const end = { endNumber: 1, taskName: 't.0.0.0', run: 1, how: 'done' as const };
  workers.report = { workerClockMs: 0, running: [], ends: [end] };
  await clock.advance(400);
  assert.equal(outcomes.map(describeEvidence), [{ outcome: 'done' }]);
  await worker.close();
});

test('a run whose start got no answer and that the worker does not report is stopped before its task may start again', async () => {
  const { clock, workers, outcomes, worker, start } = createFixture();
  await clock.advance(50);
  workers.onStart = () => ({ kind: 'no-answer', detail: '' });
  start('t.0.0.0');
  await clock.advance(600);
  assert.is(workers.stops[0]?.taskName, 't.0.0.0');
  assert.equal(outcomes, [{ kind: 'stopped' }]);
  await worker.close();
});

test('the runs of a worker that stops answering are lost only when their leases have ended', async () => {
  const { clock, workers, outcomes, worker, start } = createFixture();
  await clock.advance(50);
  workers.report = { workerClockMs: 0, running: [running('t.0.0.0')], ends: [] };
  start('t.0.0.0');
  await clock.advance(320);
  workers.onHold = () => ({ kind: 'no-answer', detail: '' });
  const silentAtMs = clock.nowMs();
  while (outcomes.length === 0 && clock.nowMs() < silentAtMs + 4_000) {
    await clock.advance(20);
  }
  const renewals = workers.receivedOrders.filter(
    (one) => one.kind === 'hold' && one.order.leaseEndWorkerMs !== undefined,
  );
  const lastRenewalAtMs = Math.max(...renewals.map(({ atMs }) => atMs));
  assert.equal(outcomes, [{ kind: 'lapsed', cause: 'silent' }]);
  assert.ok(clock.nowMs() >= lastRenewalAtMs + leaseMs * 1.02);
  await worker.close();
});

test('a restarted worker has lost its runs, and its end numbers start over', async () => {
  const { clock, workers, outcomes, worker, start } = createFixture();
  const report = { workerClockMs: 0, startedAtMs: 5, running: [], ends: [] };
  workers.report = { ...report, running: [running('t.0.0.0')] };
  start('t.0.0.0');
  await clock.advance(700);
  workers.report = { ...report, startedAtMs: 6 };
  await clock.advance(400);
  assert.equal(outcomes, [{ kind: 'gone-with-lifetime', departure: 'likely-crash' }]);
  assert.is(workers.holds.at(-1)?.lastSeenEnd, 0);
  await worker.close();
});

// Guards against a task that is run again though a restarted worker, of which nothing is known yet, has done it.
test('an end is not acknowledged by the numbers of an earlier lifetime while the lifetime is in doubt', async () => {
  const { clock, workers, worker, outcomes, start } = createFixture();
  const report = { workerClockMs: 0, startedAtMs: 5, running: [], ends: [] };
  const end = { endNumber: 3, taskName: 'old.0.0.0', run: 1, how: 'done' as const };
  workers.report = { ...report, ends: [end] };
  await clock.advance(5_100);
  const before = workers.holds.length;
  assert.is(workers.holds.at(-1)?.lastSeenEnd, 3);
  const done = { endNumber: 1, taskName: 't.0.0.0', run: 1, how: 'done' as const };
  workers.onHold = ({ lastSeenEnd }) => ({
    kind: 'held',
    report: { ...report, startedAtMs: 6, ends: lastSeenEnd < 1 ? [done] : [] },
  });
  start('t.0.0.0');
  await clock.advance(700);
  assert.is(workers.holds[before]?.lastSeenEnd, 0);
  assert.equal(outcomes.map(describeEvidence), [{ outcome: 'done' }]);
  await worker.close();
});

// Guards against two dispatchers that act on one worker after its shard has gone to another daemon.
test('the runs of a fenced dispatcher end with their leases, and it sends no further order', async () => {
  const { clock, workers, outcomes, worker, start } = createFixture();
  await clock.advance(50);
  workers.report = { workerClockMs: 0, running: [running('t.0.0.0')], ends: [] };
  const task = start('t.0.0.0');
  await clock.advance(320);
  workers.onHold = () => ({ kind: 'stale-token' });
  const fencedAtMs = clock.nowMs();
  await clock.advance(320);
  const orderCount = workers.receivedOrders.length;
  worker.stopTask(task);
  const drained = worker.drain();
  while (outcomes.length === 0) {
    await clock.advance(10);
  }
  assert.equal(outcomes, [{ kind: 'lapsed', cause: 'fenced' }]);
  assert.ok(clock.nowMs() >= fencedAtMs + leaseMs * 0.98);
  assert.is(workers.receivedOrders.length, orderCount);
  await clock.advance(200);
  await drained;
});

// Guards against callers who wait for the runs of a crashed worker longer than these can be running.
test('the runs of a worker that refuses connections are lost as soon as their leases have ended', async () => {
  const { clock, workers, outcomes, worker, start } = createFixture();
  await clock.advance(50);
  workers.report = { workerClockMs: 0, running: [running('t.0.0.0')], ends: [] };
  start('t.0.0.0');
  await clock.advance(320);
  workers.onHold = () => ({ kind: 'unreachable', detail: '' });
  const silentAtMs = clock.nowMs();
  while (outcomes.length === 0) {
    await clock.advance(10);
  }
  const renewals = workers.receivedOrders.filter(
    (one) => one.kind === 'hold' && one.order.leaseEndWorkerMs !== undefined,
  );
  const lastRenewalAtMs = renewals.at(-1)?.atMs ?? Infinity;
  assert.ok(clock.nowMs() >= lastRenewalAtMs + leaseMs * 1.02);
  assert.ok(clock.nowMs() <= lastRenewalAtMs + leaseMs * 1.1);
  assert.ok(lastRenewalAtMs <= silentAtMs);
  await worker.close();
});

// Guards against two dispatchers at one worker, whose shard was lost and regained unnoticed while it had no run.
test('a new grant renews no lease and starts nothing until the worker lists only its own runs', async () => {
  const { clock, workers, worker } = createFixture();
  await clock.advance(50);
  workers.report = { workerClockMs: 0, running: [running('other.0.0.0')], ends: [] };
  worker.update(record, 9);
  await clock.advance(100);
  assert.is(workers.holds.at(-1)?.leaseEndWorkerMs, undefined);
  assert.is(workers.stops.at(-1)?.taskName, 'other.0.0.0');
  assert.not.ok(worker.isOpen);
  workers.report = { ...workers.report, running: [] };
  await clock.advance(100);
  assert.ok(worker.isOpen);
  await worker.close();
});

// Guards against runs that lapse since their daemon has a new grant of the same worker.
test('a new grant keeps the own runs of a worker', async () => {
  const { clock, workers, worker, outcomes, start } = createFixture();
  await clock.advance(50);
  workers.report = { workerClockMs: 0, running: [running('t.0.0.0')], ends: [] };
  start('t.0.0.0');
  worker.update(record, 9);
  await clock.advance(250);
  assert.ok(worker.isOpen && workers.holds.at(-1)?.leaseEndWorkerMs !== undefined);
  assert.equal([outcomes, workers.stops], [[], []]);
  await worker.close();
});

// Guards against starts by the capacity and the labels that a worker had before it restarted.
test('a restarted worker gets no run until its new entry is read', async () => {
  const { clock, workers, worker } = createFixture();
  await clock.advance(50);
  assert.ok(worker.isOpen);
  const report = { workerClockMs: 0, startedAtMs: 6, running: [], ends: [] };
  workers.report = report;
  await clock.advance(6_000);
  assert.not.ok(worker.isOpen);
  worker.update({ ...record, startedAtMs: 6 }, 7);
  assert.ok(worker.isOpen);
  await worker.close();
});

// Guards against holds that return at once, over and over, since ends stay unacknowledged while the store is down.
test('the ends of a restarted worker are acknowledged before its new entry is read', async () => {
  const { clock, workers, worker } = createFixture();
  const end = { endNumber: 1, taskName: 't.0.0.0', run: 1, how: 'done' as const };
  workers.report = { workerClockMs: 0, startedAtMs: 6, running: [], ends: [end] };
  await clock.advance(12_000);
  assert.is(workers.holds.at(-1)?.lastSeenEnd, 1);
  await worker.close();
});

test('an end is applied once, and acknowledged by the next hold', async () => {
  const { clock, workers, outcomes, worker, start } = createFixture();
  await clock.advance(50);
  start('t.0.0.0');
  const end = { endNumber: 3, taskName: 't.0.0.0', run: 1, how: 'failed' as const };
  workers.report = { workerClockMs: 0, running: [], ends: [end] };
  await clock.advance(2_000);
  assert.equal(outcomes.map(describeEvidence), [{ outcome: 'failed' }]);
  assert.is(workers.holds.at(-1)?.lastSeenEnd, 3);
  await worker.close();
});

test.run();
