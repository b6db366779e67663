import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  closeDispatcher,
  createDispatcherFixture,
  patientBatch,
  runToEnd,
} from '../testing/dispatcherFixture.js';

// Guards against a job that is answered as failed though no run of it has ended: its order alone was rejected.
test('a task whose order a worker rejects as not valid is not started again, and has not failed', async () => {
  const fixture = await createDispatcherFixture({ workerCount: 2 });
  let starts = 0;
  fixture.workers.start = async () => {
    starts += 1;
    return { kind: 'invalid', detail: 'The worker finds the order not valid.' };
  };
  const [end] = await runToEnd(fixture, patientBatch(1));
  assert.is(starts, 1);
  assert.is(end?.kind, 'withdrawn');
  assert.match(end?.kind === 'withdrawn' ? (end.reason ?? '') : '', 'not valid');
  await closeDispatcher(fixture);
});

test.run();
