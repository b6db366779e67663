import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  closeDispatcher,
  createDispatcherFixture,
  firstTaskName,
  patientBatch,
} from '../testing/dispatcherFixture.js';
import { countLosses } from './taskLosses.js';
import type { DispatcherFixture } from '../testing/dispatcherFixture.js';
import type { Batch, BatchReply } from '../types/dispatch.js';
import type { WorkerRecord } from '../types/workers.js';

const foreverMs = 1_000_000;

/** A dispatcher whose only worker was cut off right before it was told to start a task. */
interface DoubtFixture extends DispatcherFixture {
  /** Lists other workers beside it, or in place of it. */
  readonly addWorkers: (worker?: Partial<WorkerRecord>) => void;
  /** Ends of the tasks of the batch. */
  readonly ends: () => BatchReply['ends'];
}

const createFixture = async (): Promise<DoubtFixture> => {
  const fixture = await createDispatcherFixture({ workerCount: 2, runMs: 400 });
  const { clock, dispatcher, list, records, workers } = fixture;
  const [first, second] = records;
  assert.ok(first && second);
  list([first]);
  await clock.advance(300);
  void workers.cutOff('i-0', foreverMs);
  let reply: BatchReply | undefined;
  void dispatcher.run('vm', patientBatch(1)).then((one) => (reply = one));
  await clock.advance(100);
  const addWorkers = (worker: Partial<WorkerRecord> = {}): void =>
    list([{ ...first, ...worker }, second]);
  addWorkers();
  return { ...fixture, addWorkers, ends: () => reply?.ends ?? [] };
};

const batchOfOther: Batch = patientBatch(2, { batchId: 'b-2', jobId: '0000000000000002' });

// Guards against a run that an order of before a crash starts in the next lifetime, beside another run of its task.
test('a task whose start got no answer waits until the next lifetime of its worker has confirmed a stop', async () => {
  const fixture = await createFixture();
  const { clock, workers, dispatcher } = fixture;
  await clock.advance(6_000);
  void dispatcher.run('vm', batchOfOther);
  await clock.advance(3_000);
  assert.is(workers.starts.length, 2, 'other tasks do not wait');
  assert.is(workers.startsOf(firstTaskName).length, 0);
  void workers.crash('i-0', 100);
  await clock.advance(200);
  void workers.cutOff('i-0', 1);
  await clock.advance(2_500);
  assert.equal(
    fixture.ends().map(({ kind }) => kind),
    ['done'],
  );
  assert.is(countLosses(dispatcher.suspects.lossesOf(firstTaskName)).unclearLosses, 1);
  await closeDispatcher(fixture);
});

// Guards against starts on a worker that nothing has been heard of since a start there got no answer.
test('a worker that does not answer a start is asked for a report at once, and gets no further run', async () => {
  const fixture = await createFixture();
  const { clock, workers, dispatcher } = fixture;
  await clock.advance(800);
  void dispatcher.run('vm', batchOfOther);
  await clock.advance(500);
  assert.equal(
    workers.starts.map(({ workerId }) => workerId),
    ['i-1', 'i-1'],
  );
  await closeDispatcher(fixture);
});

// Guards against a task in doubt that waits on, though its worker is back in the lifetime that got the start.
test('a task whose start got no answer starts elsewhere when its worker has confirmed a stop', async () => {
  const fixture = await createFixture();
  const { clock, workers } = fixture;
  await clock.advance(3_000);
  void workers.cutOff('i-0', 1);
  await clock.advance(2_500);
  assert.equal(
    fixture.ends().map(({ kind }) => kind),
    ['done'],
  );
  assert.is(workers.startsOf(firstTaskName).length, 1);
  await closeDispatcher(fixture);
});

// Guards against callers who wait for a start that can reach nobody.
test('a task in doubt starts elsewhere when its worker is listed at another address', async () => {
  const fixture = await createFixture();
  const { clock, workers, addWorkers } = fixture;
  await clock.advance(2_000);
  addWorkers({ workerId: 'i-0', address: '127.0.0.1:99' });
  await clock.advance(3_000);
  assert.is(workers.startsOf(firstTaskName).length, 1);
  await closeDispatcher(fixture);
});

// Guards against two runs of a task whose worker is up and cut off from the store, so that its entry has expired.
test('a start stays in doubt when the entry of its worker is missing', async () => {
  const fixture = await createFixture();
  const { clock, dispatcher, records, workers } = fixture;
  await clock.advance(3_000);
  void dispatcher.setWorkers(records.slice(1), 1);
  await clock.advance(10_000);
  assert.is(workers.startsOf(firstTaskName).length, 0);
  assert.is(fixture.ends().length, 0);
  await closeDispatcher(fixture);
});

// Guards against orders without a pause, and against memory that grows with workers that never come back.
test('a worker that stays silent gets few orders, and is let go some time after it is listed no more', async () => {
  const fixture = await createFixture();
  const { clock, workers, addWorkers, dispatcher } = fixture;
  await clock.advance(5_000);
  const before = workers.orderCount;
  await clock.advance(10_000);
  assert.ok(workers.orderCount - before < 40, `${workers.orderCount - before} orders`);
  assert.is(fixture.ends().length, 0);
  addWorkers({ workerId: 'i-9', address: '127.0.0.1:9' });
  await clock.advance(25_000);
  assert.equal(
    fixture.ends().map(({ kind }) => kind),
    ['withdrawn'],
  );
  assert.is(dispatcher.workerCount, 2);
  await closeDispatcher(fixture);
});

test.run();
