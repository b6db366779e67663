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
import type { CutKind } from '../testing/simulatedWorkers.js';
import { countLosses } from './taskLosses.js';

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
  assert.equal(countLosses(fixture.dispatcher.suspects.lossesOf(firstTaskName)).likelyCrashes, 0);
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

/** Cuts a worker off, and crashes it when its leases there have ended. */
const crashBehindCut =
  ({ clock, workers }: DispatcherFixture, cut: CutKind) =>
  async (workerId: string): Promise<void> => {
    void workers.cutOff(workerId, 2_300, cut);
    await clock.sleep(cutMs);
    void workers.crash(workerId, 300);
  };

// Guards against jobs that fail since their workers crashed behind a cut, when nothing of them ran there any more.
test('a task whose workers crash behind a cut, after its lease there, is done in the end', async () => {
  for (const cut of ['silent', 'refusing'] as const) {
    const fixture = await createFixture();
    disturbEachWorker(fixture, 3, crashBehindCut(fixture, cut));
    const [end] = await runToEnd(fixture, batch);
    assert.is(end?.kind, 'done', cut);
    assert.is(fixture.workers.startsOf(firstTaskName).length, 4, cut);
    await closeDispatcher(fixture);
  }
});

// Guards against crashes that don't count where the run has begun long before, or where a cut hides them.
test('a crash while a renewed lease covers the run counts, also behind a cut', async () => {
  for (const cutForMs of [0, cutMs]) {
    const fixture = await createDispatcherFixture({ workerCount: 6, runMs: 8_000 });
    const { clock, dispatcher, workers } = fixture;
    void dispatcher.run('vm', patientBatch(1, { estimatedMs: 8_000 }));
    await clock.advance(3_000);
    const [{ workerId } = { workerId: '' }] = workers.startsOf(firstTaskName);
    void workers.cutOff(workerId, cutForMs);
    void workers.crash(workerId, 200);
    await clock.advance(3_000);
    assert.equal(countLosses(dispatcher.suspects.lossesOf(firstTaskName)), {
      ...{ lostWorkers: 1, likelyCrashes: 1, unclearLosses: 1 },
    });
    await closeDispatcher(fixture);
  }
});

// Guards against a task that is given up for workers that were only cut off, and have answered since.
test('a worker that answers in the same lifetime again is no longer held against the task', async () => {
  const fixture = await createFixture();
  disturbEachWorker(fixture, 2, (workerId) => fixture.workers.cutOff(workerId, cutMs));
  const [end] = await runToEnd(fixture, batch);
  assert.is(end?.kind, 'done');
  assert.equal(countLosses(fixture.dispatcher.suspects.lossesOf(firstTaskName)), {
    lostWorkers: 2,
    ...{ likelyCrashes: 0, unclearLosses: 0 },
  });
  await closeDispatcher(fixture);
});

// Guards against a cut that resets connections being taken for the crash behind it.
test('a task whose workers crash behind a cut that resets connections has not failed', async () => {
  const fixture = await createFixture();
  disturbEachWorker(fixture, 3, crashBehindCut(fixture, 'reset'));
  const [end] = await runToEnd(fixture, batch);
  assert.is(end?.kind, 'withdrawn');
  await closeDispatcher(fixture);
});

// Guards against a connection that broke once being held against a task whose worker has gone on.
test('a task whose connections are reset while its workers go on is done in its first run', async () => {
  const fixture = await createFixture();
  disturbEachWorker(fixture, 1, (workerId) => fixture.workers.cutOff(workerId, 20, 'reset'));
  const [end] = await runToEnd(fixture, batch);
  assert.is(end?.kind, 'done');
  assert.is(fixture.workers.startsOf(firstTaskName).length, 1);
  assert.is(countLosses(fixture.dispatcher.suspects.lossesOf(firstTaskName)).lostWorkers, 0);
  await closeDispatcher(fixture);
});

// Guards against a task that goes on to crash workers, since each is back only after its lease has ended.
test('a crash that shows only after the run has lapsed counts for a task that waits', async () => {
  const fixture = await createDispatcherFixture({ workerCount: 6, crashesWorker: isFirstTask });
  const [end] = await runToEnd(fixture, patientBatch(1));
  assert.is(end?.kind, 'withdrawn');
  assert.is(fixture.workers.startsOf(firstTaskName).length, 2);
  assert.equal(countLosses(fixture.dispatcher.suspects.lossesOf(firstTaskName)), {
    lostWorkers: 2,
    ...{ likelyCrashes: 2, unclearLosses: 2 },
  });
  await closeDispatcher(fixture);
});

test.run();
