import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { FakeClock } from '../testing/fakeClock.js';
import { createServiceLoadOf } from './serviceLoadOfView.js';

// Guards against free cores that were counted in tasks of one size and used for jobs of another, or long ago.
test('a sum is used again for a moment, for tasks of the same size only', async () => {
  const clock = FakeClock.create();
  const sizes: (number | undefined)[] = [];
  const serviceLoadOf = createServiceLoadOf(clock, {
    serviceLoad: (_serviceId, taskCpuMillis) => {
      sizes.push(taskCpuMillis);
      return { freeCpuMillis: 0, capacityCpuMillis: 0 };
    },
  });
  serviceLoadOf('fit', 1_000);
  serviceLoadOf('fit', 1_000);
  serviceLoadOf('fit', 2_000);
  await clock.advance(20);
  serviceLoadOf('fit', 2_000);
  assert.equal(sizes, [1_000, 2_000, 2_000]);
});

test.run();
