import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { FakeClock } from '../testing/fakeClock.js';
import { WorkerLifetime } from './workerLifetime.js';

// Guards against runs that end with a lifetime which is over already and whose report was late.
test('a report that was requested before a later lifetime answered is stale', async () => {
  const clock = FakeClock.create();
  const lifetime = WorkerLifetime.create(clock);
  assert.is(lifetime.observe({ startedAtMs: 5, workerClockMs: 9_000 }, 0), 'same');
  await clock.advance(100);
  assert.is(lifetime.observe({ startedAtMs: 6, workerClockMs: 50 }, 60), 'new');
  assert.is(lifetime.observe({ startedAtMs: 5, workerClockMs: 9_050 }, 70), 'stale');
  assert.is(lifetime.startedAtMs, 6);
});

// Guards against a worker whose restart goes unnoticed since its wall clock was set back.
test('a later lifetime may state an earlier start', async () => {
  const clock = FakeClock.create();
  const lifetime = WorkerLifetime.create(clock);
  lifetime.observe({ startedAtMs: 5, workerClockMs: 9_000 }, 0);
  await clock.advance(100);
  assert.is(lifetime.observe({ startedAtMs: 4, workerClockMs: 50 }, 60), 'new');
  assert.is(lifetime.startedAtMs, 4);
});

// Guards against a run that is charged to a lifetime in which it did not begin.
test('a clock proves a lifetime only if it continues that of the lifetime and could not have started anew', async () => {
  const clock = FakeClock.create();
  const lifetime = WorkerLifetime.create(clock);
  lifetime.observe({ startedAtMs: 5, workerClockMs: 9_000 }, 0);
  await clock.advance(1_000);
  assert.is(lifetime.provenBy({ workerClockMs: 9_990 }, 990), 5);
  assert.is(lifetime.provenBy({ workerClockMs: 700 }, 990), undefined);
  assert.is(lifetime.provenBy({ workerClockMs: 20_000 }, 990), undefined);
  assert.is(lifetime.provenBy({ workerClockMs: 700, startedAtMs: 6 }, 990), 6);
  lifetime.observe({ startedAtMs: 7, workerClockMs: 5 }, 1_000);
  await clock.advance(1_000);
  assert.is(lifetime.provenBy({ workerClockMs: 1_005 }, 1_990), undefined);
});

test.run();
