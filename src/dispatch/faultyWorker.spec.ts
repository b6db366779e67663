import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { HoldOrder, HoldReply, WorkerTarget } from '../ports/workers.js';
import { workerFixture } from '../testing/dispatchFixtures.js';
import {
  closeDispatcher,
  createDispatcherFixture,
  patientBatch,
  runToEnd,
} from '../testing/dispatcherFixture.js';
import { FakeClock } from '../testing/fakeClock.js';
import { ScriptedWorkers } from '../testing/scriptedWorkers.js';
import { silentLogger } from '../testing/silentLogger.js';
import { silentSupervisor } from '../testing/silentSupervisor.js';
import { ActiveTasks } from './activeTasks.js';
import { UnansweredStarts } from './unansweredStarts.js';
import { unconfirmedLeaseTimes } from './leaseTimes.js';
import { ManagedWorker } from './managedWorker.js';

// Guards against an error in the calls of one worker that ends the process or takes the others out of service.
test('a port that throws for one worker leaves the other workers in service', async () => {
  const fixture = await createDispatcherFixture({ workerCount: 3 });
  const { workers, dispatcher, clock } = fixture;
  const hold = workers.hold.bind(workers);
  let isFaulty = true;
  workers.hold = async (target: WorkerTarget, order: HoldOrder): Promise<HoldReply> => {
    if (isFaulty && target.workerId === 'i-0') {
      throw new TypeError('Invalid URL');
    }
    return hold(target, order);
  };
  await clock.advance(7_000);
  const open = (): string[] =>
    dispatcher.load().workers.flatMap(({ workerId, isOpen }) => (isOpen ? [workerId] : []));
  assert.equal(open(), ['i-1', 'i-2']);
  const ends = await runToEnd(fixture, patientBatch(6), 3_000);
  assert.ok(ends.length === 6 && ends.every(({ kind }) => kind === 'done'));
  assert.ok(workers.starts.every(({ workerId }) => workerId !== 'i-0'));
  isFaulty = false;
  await clock.advance(7_000);
  assert.equal(open(), ['i-0', 'i-1', 'i-2']);
  await closeDispatcher(fixture);
});

// Guards against a worker whose task has ended with an error, so that nobody renews its leases or reads its ends.
test('a worker whose task fails is out of use for a pause, then in service again', async () => {
  const clock = FakeClock.create();
  const workers = ScriptedWorkers.create(clock);
  let isFaulty = true;
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
    onAvailabilityChange: () => {
      if (isFaulty) {
        throw new Error('odd');
      }
    },
  });
  await clock.advance(5_000);
  assert.not.ok(worker.isOpen);
  assert.ok(workers.holds.length > 2 && workers.holds.length < 12, `${workers.holds.length} holds`);
  isFaulty = false;
  await clock.advance(10_000);
  assert.ok(worker.isOpen);
  await worker.close();
});

// Guards against a start order that throws, after which its task would wait for ever or run twice.
test('a task whose start order throws is stopped there and ends elsewhere', async () => {
  const fixture = await createDispatcherFixture({ workerCount: 2 });
  const { workers } = fixture;
  const start = workers.start.bind(workers);
  let thrown = 0;
  workers.start = async (target, order) => {
    if (thrown === 0) {
      thrown += 1;
      throw new TypeError('Invalid header');
    }
    return start(target, order);
  };
  const ends = await runToEnd(fixture, patientBatch(1));
  assert.is(ends[0]?.kind, 'done');
  await closeDispatcher(fixture);
});

// Guards against an error in one pass over the waiting tasks, after which no task would ever start.
test('tasks start again after an error in the pass over the waiting tasks', async () => {
  const fixture = await createDispatcherFixture({ workerCount: 1 });
  const { records, list, clock, dispatcher } = fixture;
  const [record] = records;
  assert.ok(record);
  let isFaulty = false;
  const faulty = {
    ...record,
    get labels(): readonly string[] {
      if (isFaulty) {
        throw new Error('odd');
      }
      return [];
    },
  };
  list([faulty as unknown as typeof record]);
  await clock.advance(100);
  const [first, second] = [patientBatch(4), patientBatch(1, { batchId: 'b-2', jobId: 'j-2' })];
  void dispatcher.run('vm', first);
  await clock.advance(20);
  isFaulty = true;
  await clock.advance(2_000);
  isFaulty = false;
  const ends = await runToEnd(fixture, second);
  assert.is(ends[0]?.kind, 'done');
  await closeDispatcher(fixture);
});

test.run();
