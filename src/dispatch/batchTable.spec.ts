import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { FakeClock } from '../testing/fakeClock.js';
import {
  closeDispatcher,
  createDispatcherFixture,
  firstTaskName,
  patientBatch,
  runToEnd,
} from '../testing/dispatcherFixture.js';
import { BatchTable } from './batchTable.js';
import { OpenBatch } from './openBatch.js';

// Guards against work that has run being run again, when the answer to its long batch was lost.
test('a repeated request for a long batch that has ended gets the same ends', async () => {
  const fixture = await createDispatcherFixture({ workerCount: 1, runMs: 12_000 });
  const batch = patientBatch(1, { estimatedMs: 12_000 });
  const ends = await runToEnd(fixture, batch, 13_000);
  assert.is(ends[0]?.kind, 'done');
  await runToEnd(fixture, patientBatch(1, { batchId: 'b-2', jobId: '0000000000000002' }), 100);
  assert.equal(await runToEnd(fixture, batch, 13_000), ends);
  assert.is(fixture.workers.startsOf(firstTaskName).length, 1);
  await closeDispatcher(fixture);
});

// Guards against memory that fills with ended batches behind one whose client expects a run time of days.
test('a batch that is kept for long keeps no other batch', async () => {
  const clock = FakeClock.create();
  const table = BatchTable.create(clock);
  const addEnded = async (batchId: string, estimatedMs: number): Promise<void> => {
    const batch = OpenBatch.create('vm', patientBatch(1, { batchId, estimatedMs }), clock.nowMs());
    table.add(batch);
    batch.tasks.forEach((task) => batch.end(task, { kind: 'withdrawn', index: task.index }));
    await batch.completion;
  };
  await addEnded('days', 1_000_000_000);
  await addEnded('short', 100);
  await clock.advance(60_000);
  await addEnded('next', 100);
  assert.ok(table.get('days') !== undefined && table.get('next') !== undefined);
  assert.is(table.get('short'), undefined);
});

test.run();
