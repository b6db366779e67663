import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  closeDispatcher,
  createDispatcherFixture,
  patientBatch,
} from '../testing/dispatcherFixture.js';
import type { DispatcherFixture } from '../testing/dispatcherFixture.js';
import type { Batch } from '../types/dispatch.js';

const smallCpuMillis = 8_000;
const runMs = 100;
let lastJob = 0;

/** Sends a batch of a new job; returns the id of the job. */
const send = (
  { dispatcher }: DispatcherFixture,
  { priority, cpuMillis, ...rest }: { priority: number; cpuMillis: number } & Partial<Batch>,
  taskCount = 1,
): string => {
  lastJob += 1;
  const jobId = lastJob.toString(16).padStart(16, '0');
  const needs = { resources: { cpuMillis, memoryMb: 64, accelerators: 0 } };
  const ids = { batchId: `b-${jobId}`, jobId };
  void dispatcher.run('vm', patientBatch(taskCount, { ...ids, needs, priority, ...rest }));
  return jobId;
};

const startsOf = ({ workers }: DispatcherFixture, jobId: string): string[] =>
  workers.starts.flatMap(({ taskName, workerId }) =>
    taskName.startsWith(`${jobId}.`) ? [workerId] : [],
  );

/** Keeps small tasks of a less urgent route waiting, with run times that end at different times. */
const sendSmallOnes = async (fixture: DispatcherFixture, rounds: number): Promise<void> => {
  for (let round = 0; round < rounds; round += 1) {
    send(fixture, { priority: 1, cpuMillis: smallCpuMillis });
    await fixture.clock.advance(runMs / 4);
  }
};

// Guards against a large task that never starts, since smaller ones behind it take each core that becomes free.
test('a large task starts although small ones of a less urgent route keep arriving', async () => {
  const fixture = await createDispatcherFixture({ workerCount: 1, runMs });
  await sendSmallOnes(fixture, 6);
  const large = send(fixture, { priority: 0, cpuMillis: 32_000 });
  await sendSmallOnes(fixture, 8);
  assert.equal(startsOf(fixture, large), ['i-0']);
  await closeDispatcher(fixture);
});

// Guards against a reservation that leaves cores unused which a short task can use until the reserved start.
test('a short task uses the reserved worker until the reserved start, and a long one does not', async () => {
  const fixture = await createDispatcherFixture({ workerCount: 1, runMs });
  send(fixture, { priority: 1, cpuMillis: 20_000, estimatedMs: 100 });
  const large = send(fixture, { priority: 0, cpuMillis: 32_000 });
  const long = send(fixture, { priority: 1, cpuMillis: smallCpuMillis, estimatedMs: 400 });
  const short = send(fixture, { priority: 1, cpuMillis: smallCpuMillis, estimatedMs: 40 });
  await fixture.clock.advance(20);
  assert.equal(
    [large, long, short].map((id) => startsOf(fixture, id).length),
    [0, 0, 1],
  );
  await closeDispatcher(fixture);
});

// Guards against a burst of a less urgent route that delays the most urgent one.
test('an urgent task goes before a burst that arrived earlier', async () => {
  const fixture = await createDispatcherFixture({ workerCount: 2, runMs });
  const burst = send(fixture, { priority: 2, cpuMillis: 16_000, objectiveInMs: 2_000 }, 40);
  const urgent = send(fixture, { priority: 0, cpuMillis: 16_000, objectiveInMs: 9_000 });
  await fixture.clock.advance(runMs * 2);
  assert.is(startsOf(fixture, urgent).length, 1);
  assert.ok(startsOf(fixture, burst).length < 12);
  await closeDispatcher(fixture);
});

// Guards against a changed order where priorities do not decide.
test('tasks of one priority start by latest start, and small ones go past a blocked large one', async () => {
  const fixture = await createDispatcherFixture({ workerCount: 1, runMs });
  send(fixture, { priority: 1, cpuMillis: 20_000 });
  const large = send(fixture, { priority: 1, cpuMillis: 32_000, objectiveInMs: 5_000 });
  const small = send(fixture, { priority: 1, cpuMillis: smallCpuMillis, estimatedMs: 400 });
  await fixture.clock.advance(20);
  assert.equal(
    [large, small].map((id) => startsOf(fixture, id).length),
    [0, 1],
  );
  await closeDispatcher(fixture);
});

// Guards against late tasks that take the cores of a task which can still end in time.
test('a task that can no longer meet its objective goes behind one that can', async () => {
  const fixture = await createDispatcherFixture({ workerCount: 1, runMs });
  send(fixture, { priority: 1, cpuMillis: 32_000 });
  const late = send(fixture, { priority: 0, cpuMillis: 32_000, objectiveInMs: 120 });
  const timely = send(fixture, { priority: 1, cpuMillis: 32_000, objectiveInMs: 900 });
  await fixture.clock.advance(runMs * 4);
  assert.equal(
    fixture.workers.starts.slice(1).map(({ taskName }) => taskName.split('.')[0]),
    [timely, late],
  );
  await closeDispatcher(fixture);
});

// Guards against a task that goes on waiting for the worker that was reserved for it, after that is gone.
for (const failure of ['removed', 'crashed'] as const) {
  test(`a task whose reserved worker is ${failure} starts on another one as soon as it can`, async () => {
    const fixture = await createDispatcherFixture({ workerCount: 2, runMs });
    const { clock, records, list, workers } = fixture;
    // Both workers are busy; the one whose run is forecast to end first is reserved.
    send(fixture, { priority: 1, cpuMillis: 20_000, estimatedMs: 100 });
    send(fixture, { priority: 1, cpuMillis: 20_000, estimatedMs: 130 });
    const large = send(fixture, { priority: 0, cpuMillis: 32_000 });
    await clock.advance(20);
    const [reserved] = workers.starts.map(({ workerId }) => workerId);
    const other = records.find(({ workerId }) => workerId !== reserved);
    assert.ok(reserved !== undefined && other !== undefined);
    if (failure === 'removed') {
      list([other]);
    } else {
      void workers.crash(reserved, 60_000);
    }
    await clock.advance(runMs);
    assert.equal(startsOf(fixture, large), [other.workerId]);
    await closeDispatcher(fixture);
  });
}

test.run();
