import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  closeDispatcher,
  createDispatcherFixture,
  patientBatch,
} from '../testing/dispatcherFixture.js';
import { batchFixture } from '../testing/dispatchFixtures.js';
import { memberLoadSchema } from '../types/fleet.js';
import { isInvalidField } from '../types/tolerant.js';

// Guards against a dispatcher whose queue is not seen by those that plan.
test('the tasks that wait are reported by service and priority, and no longer once they have started', async () => {
  const fixture = await createDispatcherFixture({ workerCount: 1, runMs: 100 });
  const { dispatcher, clock } = fixture;
  assert.is(dispatcher.load().waiting, undefined);
  const ended = dispatcher.run('vm', patientBatch(6, { priority: 2 }));
  const { serviceId, estimatedMs, needs } = batchFixture;
  const { waiting } = dispatcher.load();
  assert.ok(waiting !== undefined && !isInvalidField(waiting));
  const [work, ...others] = waiting;
  assert.ok(work);
  assert.is(others.length, 0);
  assert.equal([work.serviceId, work.priority], [serviceId, 2]);
  assert.ok(work.taskCount > 0 && work.taskCount < 6);
  const coreMs = (work.taskCount * needs.resources.cpuMillis * estimatedMs) / 1_000;
  assert.is(work.coreMs, Math.round(coreMs));
  await clock.advance(5_000);
  await ended;
  assert.is(dispatcher.load().waiting, undefined);
  await closeDispatcher(fixture);
});

// Guards against one computation for each message of a step, and against a reply that hides what its batch has changed.
test('a load is used again until runs or waiting tasks change, or a short time has passed', async () => {
  const fixture = await createDispatcherFixture({ workerCount: 1, runMs: 100 });
  const { dispatcher, clock } = fixture;
  const idle = dispatcher.load();
  assert.is(dispatcher.load(), idle);
  const ended = dispatcher.run('vm', patientBatch(6));
  const busy = dispatcher.load();
  assert.ok((busy.workers[0]?.free.cpuMillis ?? 0) < (idle.workers[0]?.free.cpuMillis ?? 0));
  void dispatcher.run('vm', patientBatch(1, { batchId: 'b-2', jobId: '0000000000000002' }));
  assert.is.not(dispatcher.load(), busy);
  const sent = dispatcher.load();
  await clock.advance(3);
  assert.is.not(dispatcher.load(), sent);
  await clock.advance(5_000);
  await ended;
  assert.equal(dispatcher.load().workers[0]?.free, idle.workers[0]?.free);
  await closeDispatcher(fixture);
});

// Guards against a whole message that is rejected for one new field.
test('waiting work of another form is marked, and the rest of the load counts', () => {
  const workers = [
    {
      workerId: 'w-0',
      free: { cpuMillis: 1_000, memoryMb: 1, accelerators: 0 },
      ...{ slowness: 1, isOpen: true, releases: [] },
    },
  ];
  const valid = { serviceId: 'fit', priority: 0, taskCount: 1, coreMs: 5 };
  assert.equal(memberLoadSchema.parse({ workers, waiting: [valid] }).waiting, [valid]);
  assert.is(memberLoadSchema.parse({ workers }).waiting, undefined);
  for (const waiting of [
    'many',
    [{ ...valid, coreMs: -1 }],
    [{ ...valid, taskCount: 'two' }],
    null,
  ]) {
    const load = memberLoadSchema.parse({ workers, waiting });
    assert.ok(isInvalidField(load.waiting));
    assert.equal(load.workers, workers);
  }
});

test.run();
