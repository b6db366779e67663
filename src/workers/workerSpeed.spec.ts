import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { WorkerSpeed } from './workerSpeed.js';

// Guards against a stored factor that keeps a worker out of use, or makes it look as if it ended tasks at once.
test('a remembered factor beyond all measured ones counts as the nearest of them', () => {
  assert.is(WorkerSpeed.create(1e300).slowness(0), WorkerSpeed.create(12).slowness(0));
  assert.is(WorkerSpeed.create(1e-300).slowness(0), 0.2);
  assert.is(WorkerSpeed.create(1.5).slowness(0), 1.5);
});

test.run();
