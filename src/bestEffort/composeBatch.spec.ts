import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { unconfirmedLeaseTimes } from '../dispatch/leaseTimes.js';
import { batchFixture, routeFixture } from '../testing/dispatchFixtures.js';
import { FakeClock } from '../testing/fakeClock.js';
import { composeBatch } from './composeBatch.js';
import type { BatchContent } from './composeBatch.js';
import { JobContext } from './jobContext.js';
import { RunTimePredictor } from './runTimePredictor.js';

const { jobId, needs, tasks, spec } = batchFixture;

const createJob = (): JobContext =>
  JobContext.create({
    clock: FakeClock.create(),
    lengths: RunTimePredictor.create(),
    leaseTimes: unconfirmedLeaseTimes(1_000),
    route: routeFixture,
    request: {
      jobId,
      spec,
      steps: [{ taskCount: 1, estimatedMs: 100, after: [], needs }],
      unsupported: [],
    },
    deadlineMs: 1_500,
    waitedMs: 0,
  });

const contentOf = (job: JobContext): BatchContent => ({
  batchId: 'b-1',
  job,
  stepIndex: 0,
  tasks,
  plan: { startsNow: false, longestWaitMs: 30 },
  reassignments: 0,
});

// Guards against a dispatcher that starts a job late although its caller could be told to try again.
test('a batch that nothing has started expires when its job could no longer be admitted', () => {
  const job = createJob();
  const nowMs = job.giveUpAtMs - 700;
  const { expiresInMs, giveUpInMs } = composeBatch(contentOf(job), nowMs);
  assert.is(giveUpInMs, 700);
  assert.is(expiresInMs, Math.round(job.latestAdmissibleEndAtMs - nowMs));
  assert.ok(expiresInMs < giveUpInMs);
});

// Guards against the end of a job that has begun by the time until which it could be refused.
test('a batch that starts now, or of a job that was offered, expires when the job is given up', () => {
  const starting = contentOf(createJob());
  const offered = contentOf(createJob());
  offered.job.wasOffered = true;
  for (const content of [{ ...starting, plan: { ...starting.plan, startsNow: true } }, offered]) {
    const { expiresInMs, giveUpInMs } = composeBatch(content, content.job.giveUpAtMs - 700);
    assert.is(expiresInMs, giveUpInMs);
  }
});

// Guards against tasks that go from dispatcher to dispatcher, each of which returns them.
test('from the second reassignment on, a dispatcher returns no task because of its wait', () => {
  const content = contentOf(createJob());
  const maxWaits = [0, 1, 2, 3].map(
    (reassignments) => composeBatch({ ...content, reassignments }, 0).maxWaitMs,
  );
  assert.equal(maxWaits, [50, 50, 60_000, 60_000]);
});

test.run();
