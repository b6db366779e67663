import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  closeDispatcher,
  createDispatcherFixture,
  patientBatch,
} from '../testing/dispatcherFixture.js';
import { SeededRandom } from '../testing/seededRandom.js';
import type { BatchReply } from '../types/dispatch.js';
import type { WorkerRecord } from '../types/workers.js';
import { CapacityProfile } from './capacityProfile.js';

const taskCpuMillis = 14_000;

const withCores = (record: WorkerRecord, cpuMillis: number): WorkerRecord => ({
  ...record,
  capacity: { ...record.capacity, cpuMillis },
});

// Guards against starts that bring a worker that accepts everything over a capacity that has shrunk.
test('no start brings a worker over the capacity that its entry states', async () => {
  const fixture = await createDispatcherFixture({ workerCount: 3, runMs: 150 });
  const { clock, workers, dispatcher, records, list } = fixture;
  const random = SeededRandom.create(7);
  let listed: readonly WorkerRecord[] = records;
  let seenStarts = 0;
  for (let round = 0; round < 200; round += 1) {
    if (round % 4 === 0) {
      listed = records.map((record) => withCores(record, Math.round(random.next() * 50_000)));
      list(listed);
    }
    const batchId = `b-${round}`;
    const jobId = `${round}`.padStart(16, '0');
    void dispatcher.run('vm', patientBatch(2, { batchId, jobId }));
    await clock.advance(40);
    for (const { workerId, besides } of workers.starts.slice(seenStarts)) {
      const capacity = listed.find((record) => record.workerId === workerId)?.capacity;
      assert.ok((besides.length + 1) * taskCpuMillis <= (capacity?.cpuMillis ?? 0));
    }
    seenStarts = workers.starts.length;
  }
  assert.ok(seenStarts > 100);
  await closeDispatcher(fixture);
});

// Guards against tasks that wait for capacity that never becomes free.
test('a task is returned at once if only cores that a worker has no more would become free in time', async () => {
  const longTasks = { estimatedMs: 5_000 };
  const fixture = await createDispatcherFixture({ workerCount: 2, runMs: 5_000 });
  const { clock, dispatcher, records, list } = fixture;
  void dispatcher.run(
    'vm',
    patientBatch(4, { ...longTasks, batchId: 'b-0', jobId: '0000000000000002' }),
  );
  await clock.advance(4_000);
  const [shrunk, other] = records;
  assert.ok(shrunk && other);
  list([withCores(shrunk, taskCpuMillis - 1), other]);
  const needs = { resources: { cpuMillis: 28_000, memoryMb: 64, accelerators: 0 } };
  let reply: BatchReply | undefined;
  const batch = patientBatch(2, { ...longTasks, needs, maxWaitMs: 3_000 });
  void dispatcher.run('vm', batch).then((one) => (reply = one));
  await clock.advance(10);
  assert.equal(
    reply?.ends.map(({ kind }) => kind),
    ['returned'],
  );
  await closeDispatcher(fixture);
});

test('runs over the capacity that is left use up the cores that become free first', () => {
  const profile = CapacityProfile.create(-8_000, [
    { inMs: 300, cpuMillis: 14_000 },
    { inMs: 100, cpuMillis: 14_000 },
  ]);
  assert.is(profile.free, 0);
  assert.is(profile.startsInMs(6_000), 100);
  assert.is(profile.startsInMs(14_000), 300);
  assert.is(profile.startsInMs(21_000), Infinity);
});

test.run();
