import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  closeDispatcher,
  createDispatcherFixture,
  firstTaskName,
  patientBatch,
  runToEnd,
} from '../testing/dispatcherFixture.js';

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

test.run();
