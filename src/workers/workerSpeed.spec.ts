import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { WorkerSpeed } from './workerSpeed.js';

// Guards against a stored factor that keeps a worker out of use, or makes it look as if it ended tasks at once.
test('a remembered factor beyond all measured ones counts as the nearest of them', () => {
  assert.is(WorkerSpeed.create(1e300, 0).slowness(0), WorkerSpeed.create(12, 0).slowness(0));
  assert.is(WorkerSpeed.create(1e-300, 0).slowness(0), 0.2);
  assert.is(WorkerSpeed.create(1.5, 0).slowness(0), 1.5);
});

// Guards against a worker that gets no run for being slow, and is never found to be fast again.
test('a factor above the default is forgotten while nothing is measured, and one below it is not', () => {
  const slow = WorkerSpeed.create(2.2, 1_000);
  const fast = WorkerSpeed.create(0.6, 1_000);
  assert.is(slow.slowness(6_000), 2.2, 'a worker in use is judged by what was measured');
  assert.ok(slow.slowness(11_000) < 1.6);
  assert.ok(slow.slowness(61_000) < 1.2);
  assert.is(fast.slowness(61_000), 0.6);
  slow.observe(220, 100, 61_000);
  assert.ok(slow.slowness(61_000) > 1.2);
});

test.run();
