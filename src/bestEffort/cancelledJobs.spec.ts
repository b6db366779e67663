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

// Guards against cancellations that a daemon that has just begun is never told of, since there are many.
test('recent cancellations are listed in turn, with their ages', () => {
  const clock = FakeClock.create();
  const jobs = CancelledJobs.create(clock);
  jobs.record('told', 'found', 59_000);
  assert.equal(jobs.list(), [{ jobId: 'told', wasFound: true, agoMs: 59_000 }]);
  clock.jump(1_001);
  assert.equal(jobs.list(), [], 'too old');
  Array.from({ length: 500 }, (_, index) => jobs.record(`job-${index}`, 'not-found'));
  const listed = new Set<string>();
  for (let turn = 0; turn < 8; turn += 1) {
    const part = jobs.list();
    assert.ok(part.length <= 64);
    part.forEach(({ jobId }) => listed.add(jobId));
    clock.jump(300);
  }
  assert.is(listed.size, 500);
});

test.run();
