import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { batchFixture, workerFixture } from '../testing/dispatchFixtures.js';
import { FakeClock } from '../testing/fakeClock.js';
import { ScriptedWorkers } from '../testing/scriptedWorkers.js';
import { silentLogger } from '../testing/silentLogger.js';
import { silentSupervisor } from '../testing/silentSupervisor.js';
import { ActiveTasks } from './activeTasks.js';
import { unconfirmedLeaseTimes } from './leaseTimes.js';
import { ManagedWorker } from './managedWorker.js';
import { OpenBatch } from './openBatch.js';
import { UnansweredStarts } from './unansweredStarts.js';

const createFixture = () => {
  const clock = FakeClock.create();
  const workers = ScriptedWorkers.create(clock);
  const worker = ManagedWorker.create({
    ...{ record: workerFixture, fencingToken: 7, clock, workers, logger: silentLogger },
    ...{ activeTasks: ActiveTasks.create(), unanswered: UnansweredStarts.create(clock) },
    leaseTimes: unconfirmedLeaseTimes(1_000),
    supervisor: silentSupervisor(clock),
    onEnd: () => undefined,
    onLifetime: () => undefined,
    onAvailabilityChange: () => undefined,
  });
  const start = (taskName: string): void => {
    const [task] = OpenBatch.create('vm', batchFixture, clock.nowMs()).tasks;
    assert.ok(task);
    const needs = batchFixture.needs.resources;
    worker.start({ task, taskName, needs, expectedMs: 100 });
  };
  return { clock, workers, worker, start };
};

const running = (taskName: string, run: number) => ({ taskName, run });

// Guards against workers that are closed for as long as a hold waits, whenever some shard of the fleet changes hands.
test('a raised token closes a worker with runs for one answer only, and sends no task elsewhere', async () => {
  const { clock, workers, worker, start } = createFixture();
  await clock.advance(50);
  start('t.0.0.0');
  await clock.advance(1);
  workers.report = { workerClockMs: 0, running: [running('t.0.0.0', 1)], ends: [] };
  await clock.advance(20);
  worker.update(worker.record, 8);
  assert.not.ok(worker.isOpen);
  assert.ok(worker.acceptsTasks && worker.isInService);
  await clock.advance(20);
  assert.ok(worker.isOpen);
  await worker.close();
});

// Guards against leases of another daemon's runs that are renewed after it had the worker for a while.
test('a raised token renews nothing while a run of another daemon is reported', async () => {
  const { clock, workers, worker } = createFixture();
  await clock.advance(50);
  workers.report = { workerClockMs: 0, running: [running('other.0.0.0', 2)], ends: [] };
  worker.update(worker.record, 8);
  await clock.advance(200);
  assert.not.ok(worker.isOpen || worker.acceptsTasks);
  assert.equal(workers.stops[0], { taskName: 'other.0.0.0', run: 2, fencingToken: 8 });
  const renewed = workers.holds.filter(({ fencingToken }) => fencingToken === 8);
  assert.ok(renewed.every(({ leaseEndWorkerMs }) => leaseEndWorkerMs === undefined));
  workers.report = { workerClockMs: 0, running: [], ends: [] };
  await clock.advance(100);
  assert.ok(worker.isOpen);
  await worker.close();
});

test.run();
