import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  closeDispatcher,
  createDispatcherFixture,
  patientBatch,
  runToEnd,
} from '../testing/dispatcherFixture.js';

// Guards against work that is run again after it had run, since the answer to its requester was lost.
test('a batch that took long and is sent again after its end is answered, and not started again', async () => {
  const fixture = await createDispatcherFixture({ workerCount: 2, runMs: 12_000 });
  const batch = patientBatch(1, { estimatedMs: 12_000 });
  await runToEnd(fixture, batch, 13_000);
  await runToEnd(fixture, patientBatch(1, { batchId: 'b-2', jobId: '0000000000000002' }), 100);
  const [end] = await runToEnd(fixture, batch, 100);
  assert.is(end?.kind, 'done');
  assert.is(fixture.workers.starts.length, 2);
  await closeDispatcher(fixture);
});

test.run();
