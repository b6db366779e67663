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

/** Longer than a lease. */
const cutMs = 1_500;
/** Longer than any test. */
const foreverMs = 1_000_000;

/** Runs one task, and disturbs each worker a short while after the task has started there. */
const disturbEachWorker = (
  fixture: DispatcherFixture,
  times: number,
  disturb: (workerId: string) => unknown,
): void => {
  const { clock, workers } = fixture;
  const watch = async (): Promise<void> => {
    for (let time = 0; time < times; time += 1) {
      while (workers.startsOf(firstTaskName).length <= time) {
        await clock.sleep(10);
      }
      await clock.sleep(100);
      void disturb(workers.startsOf(firstTaskName).at(-1)?.workerId ?? '');
    }
  };
  void watch();
};

const createFixture = (): Promise<DispatcherFixture> =>
  createDispatcherFixture({ workerCount: 6, runMs: 400 });

const batch = patientBatch(1, { estimatedMs: 400 });

// Guards against jobs that fail since workers that run on were cut off for a while.
test('a task whose workers are cut off one after the other is done in the end', async () => {
  const fixture = await createFixture();
  disturbEachWorker(fixture, 4, (workerId) => fixture.workers.cutOff(workerId, cutMs));
  const [end] = await runToEnd(fixture, batch);
  assert.is(end?.kind, 'done');
  assert.ok(fixture.workers.startsOf(firstTaskName).length > 2);
  assert.equal(fixture.dispatcher.suspects.countsOf(firstTaskName).crashedWorkers, 0);
  await closeDispatcher(fixture);
});

// Guards against jobs that fail since workers are gone for good, of which nothing tells that they crashed.
test('a task whose workers do not come back is not given up for that', async () => {
  const fixture = await createFixture();
  disturbEachWorker(fixture, 3, (workerId) => fixture.workers.cutOff(workerId, foreverMs));
  const [end] = await runToEnd(fixture, batch);
  assert.is(end?.kind, 'done');
  await closeDispatcher(fixture);
});

// Guards against a task that goes on to crash workers, since each is back only after its lease has ended.
test('a crash that shows only after the run has lapsed counts for a task that waits', async () => {
  const fixture = await createDispatcherFixture({ workerCount: 6, crashesWorker: isFirstTask });
  const [end] = await runToEnd(fixture, patientBatch(1));
  assert.is(end?.kind, 'failed');
  assert.is(fixture.workers.startsOf(firstTaskName).length, 2);
  assert.equal(fixture.dispatcher.suspects.countsOf(firstTaskName), {
    lostWorkers: 2,
    crashedWorkers: 2,
  });
  await closeDispatcher(fixture);
});

test.run();
