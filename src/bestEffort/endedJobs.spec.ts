import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { JobEnd } from '../ports/jobs.js';
import { FakeClock } from '../testing/fakeClock.js';
import { EndedJobs } from './endedJobs.js';

const createFixture = () => {
  const clock = FakeClock.create();
  const jobs = EndedJobs.create(clock, { confirmationMs: 1_200 });
  const end = (jobId: string, kind: JobEnd, mayHaveStarted: boolean, runsEndInMs = 5_000): void =>
    jobs.record({
      ...{ jobId, end: kind, mayHaveStarted },
      ...{ runsEndAtMs: clock.nowMs() + runsEndInMs, statedFromMs: clock.nowMs() },
    });
  return { clock, jobs, end };
};

// Guards against a job that starts beside runs of its earlier attempt, which are stopped, and not proved to have ended.
test('runs of a job that was given up or whose caller has left may go on until no lease covers them', async () => {
  const { clock, jobs, end } = createFixture();
  end('left', { kind: 'cancelled' }, true);
  end('late', { kind: 'given-up', reason: 'late' }, true, 80);
  end('unstarted', { kind: 'cancelled' }, false);
  end('refused', { kind: 'refused', reason: 'full', retryAfterMs: 1 }, false);
  assert.equal(jobs.answerFor('left'), { kind: 'may-run', leftMs: 1_200 });
  assert.equal(jobs.answerFor('late'), { kind: 'may-run', leftMs: 80 });
  assert.equal(jobs.answerFor('unstarted'), { kind: 'none-runs' });
  assert.equal(jobs.answerFor('refused'), { kind: 'none-runs' });
  assert.equal(
    jobs.listRunning().map(({ jobId }) => jobId),
    ['left', 'late'],
  );
  await clock.advance(1_200);
  assert.equal(jobs.answerFor('left'), { kind: 'none-runs' });
  assert.equal(jobs.listRunning(), []);
});

// Guards against a job that runs again, since the answer to its first attempt was lost.
test('a job that has run keeps its end until its caller has stopped to wait', async () => {
  const { clock, jobs, end } = createFixture();
  end('done', { kind: 'completed' }, true);
  end('failed', { kind: 'failed', reason: 'it failed' }, true);
  assert.equal(jobs.answerFor('done'), { kind: 'ended', end: { kind: 'completed' } });
  assert.is(jobs.answerFor('failed').kind, 'ended');
  assert.is(jobs.answerFor('other').kind, 'unknown');
  await clock.advance(6_000);
  end('later', { kind: 'completed' }, true);
  assert.is(jobs.size, 1);
  assert.is(jobs.answerFor('done').kind, 'unknown');
});

// Guards against memory that grows with the jobs of a day.
test('the number of ended jobs that are remembered is bounded', () => {
  const { jobs, end } = createFixture();
  for (let index = 0; index < 5_000; index += 1) {
    end(`job-${index}`, { kind: 'completed' }, true);
  }
  assert.is(jobs.size, 4_096);
});

test.run();
