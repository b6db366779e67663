import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { batchFixture, workerFixture } from '../testing/dispatchFixtures.js';
import { FakeClock } from '../testing/fakeClock.js';
import { ScriptedWorkers } from '../testing/scriptedWorkers.js';
import { silentLogger } from '../testing/silentLogger.js';
import { silentSupervisor } from '../testing/silentSupervisor.js';
import { ActiveTasks } from './activeTasks.js';
import { UnansweredStarts } from './unansweredStarts.js';
import { unconfirmedLeaseTimes } from './leaseTimes.js';
import { ManagedWorker } from './managedWorker.js';
import { OpenBatch } from './openBatch.js';

// Guards against a daemon that is busy for as long as a start in doubt waits at a worker that refuses its token.
test('a fenced worker with a start in doubt is looked at seldom', async () => {
  const clock = FakeClock.create();
  let sleeps = 0;
  const sleep = clock.sleep.bind(clock);
  clock.sleep = (...given: Parameters<typeof sleep>) => {
    sleeps += 1;
    return sleep(...given);
  };
  const workers = ScriptedWorkers.create(clock);
  const worker = ManagedWorker.create({
    record: workerFixture,
    fencingToken: 7,
    clock,
    workers,
    logger: silentLogger,
    activeTasks: ActiveTasks.create(),
    unanswered: UnansweredStarts.create(clock),
    leaseTimes: unconfirmedLeaseTimes(1_000),
    supervisor: silentSupervisor(clock),
    onEnd: () => undefined,
    onLifetime: () => undefined,
    onAvailabilityChange: () => undefined,
  });
  await clock.advance(50);
  workers.onStart = () => ({ kind: 'no-answer', detail: '' });
  workers.onStop = () => ({ kind: 'stale-token' });
  workers.onHold = () => ({ kind: 'stale-token' });
  const [task] = OpenBatch.create('vm', batchFixture, clock.nowMs()).tasks;
  assert.ok(task);
  const needs = batchFixture.needs.resources;
  worker.start({ task, taskName: 't.0.0.0', needs, expectedMs: 100 });
  await clock.advance(3_000);
  sleeps = 0;
  await clock.advance(2_000);
  assert.is(worker.runCount, 1);
  assert.ok(sleeps < 100, `${sleeps} pauses`);
  const closing = worker.close();
  await clock.advance(1_000);
  await closing;
});

test.run();
