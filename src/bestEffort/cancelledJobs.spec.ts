import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { FakeClock } from '../testing/fakeClock.js';
import { CancelledJobs } from './cancelledJobs.js';

test('a cancelled job is remembered for a bounded time', () => {
  const clock = FakeClock.create();
  const jobs = CancelledJobs.create(clock);
  jobs.record('a', 'not-found');
  clock.jump(30_000);
  jobs.record('b', 'found');
  assert.is(jobs.find('a'), 'not-found');
  clock.jump(30_001);
  assert.is(jobs.find('a'), undefined);
  assert.is(jobs.find('b'), 'found');
  jobs.record('c', 'found');
  assert.is(jobs.size, 2);
});

test('only a bounded number of cancelled jobs is remembered', () => {
  const jobs = CancelledJobs.create(FakeClock.create());
  for (let index = 0; index < 10_000; index += 1) {
    jobs.record(`job-${index}`, 'not-found');
  }
  assert.is(jobs.size, 4_096);
  assert.is(jobs.find('job-9999'), 'not-found');
});

test.run();
