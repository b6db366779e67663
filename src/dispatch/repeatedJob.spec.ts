import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  closeDispatcher,
  createDispatcherFixture,
  firstTaskName,
  patientBatch,
} from '../testing/dispatcherFixture.js';

const runMs = 3_000;
const other = { batchId: 'other', jobId: '0000000000000002' };
const leaseMs = 1_000;
/** Longer than the test. */
const cutMs = 60_000;

// Guards against two runs of a task at one dispatcher, for the first and the second attempt of its caller.
test('a task of a repeated job does not start while a run of the first attempt may go on', async () => {
  const fixture = await createDispatcherFixture({ workerCount: 3, runMs });
  const { clock, dispatcher, workers } = fixture;
  void dispatcher.run('vm-1', patientBatch(1, { batchId: 'first', estimatedMs: runMs }));
  await clock.advance(100);
  const [first] = workers.startsOf(firstTaskName);
  assert.ok(first);
  void workers.cutOff(first.workerId, cutMs);
  dispatcher.withdraw('first');
  void dispatcher.run('vm-2', patientBatch(1, { batchId: 'second', estimatedMs: runMs }));
  void dispatcher.run('vm-2', patientBatch(4, { ...other, estimatedMs: runMs }));
  await clock.advance(leaseMs / 2);
  assert.is(workers.startsOf(firstTaskName).length, 1);
  const isOther = ({ taskName }: { taskName: string }): boolean => taskName.startsWith(other.jobId);
  assert.ok(workers.starts.some(isOther), 'others go on');
  await clock.advance(leaseMs + runMs);
  assert.is(workers.startsOf(firstTaskName).length, 2);
  await closeDispatcher(fixture);
});

test.run();
