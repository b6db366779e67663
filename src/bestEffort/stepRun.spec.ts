import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { unconfirmedLeaseTimes } from '../dispatch/leaseTimes.js';
import { noMetrics } from '../adapters/system/noMetrics.js';
import { JobAdmission } from '../admission/jobAdmission.js';
import { CallerContact } from '../fleet/callerContact.js';
import type { JobEnd, JobRequest } from '../ports/jobs.js';
import { routeFixture } from '../testing/dispatchFixtures.js';
import { FakeClock } from '../testing/fakeClock.js';
import { createPlanOnlyAdmission } from '../testing/planOnlyAdmission.js';
import { SeededRandom } from '../testing/seededRandom.js';
import { silentLogger } from '../testing/silentLogger.js';
import type { Batch, BatchReply, TaskEnd } from '../types/dispatch.js';
import type { BatchSender } from './batchSender.js';
import { RunningJobs } from './runningJobs.js';
import { RunTimePredictor } from './runTimePredictor.js';
import type { PlannedBatch, StepPlan, StepPlanner } from './stepPlanner.js';

const needs = { resources: { cpuMillis: 1_000, memoryMb: 64, accelerators: 0 } };
const request: JobRequest = {
  jobId: '0000000000000001',
  spec: '',
  steps: [{ taskCount: 2, estimatedMs: 1_000, after: [], needs }],
  unsupported: [],
};

const doneAt = (index: number): TaskEnd => ({ kind: 'done', index, lengthMs: 1_000 });
const returnedAt = (index: number): TaskEnd => ({
  ...{ kind: 'returned', reason: 'no room' },
  task: { index, nextRun: 1, failedRuns: 0, lostWorkers: 0 },
});
const expiredAt = (index: number): TaskEnd => ({ kind: 'expired', index });
const replyOf = (wasOffered: boolean, ...ends: TaskEnd[]): BatchReply => ({
  ...{ isPartial: false, wasOffered, ends, load: { workers: [] } },
});
const allDone = ({ tasks }: Batch): BatchReply =>
  replyOf(true, ...tasks.map(({ index }) => doneAt(index)));

/** A job of two tasks; a test sets which plans there are and what the dispatchers reply. */
const createFixture = (
  dispatcherIds: (planCount: number) => readonly string[] | undefined,
  reply: (batch: Batch, batchCount: number) => Promise<BatchReply> | BatchReply,
  createAdmission: (clock: FakeClock) => JobAdmission = createPlanOnlyAdmission,
) => {
  const clock = FakeClock.create();
  const batches: Batch[] = [];
  const counts = { plans: 0 };
  const sender: BatchSender = {
    nextBatchId: () => `b-${batches.length}`,
    run: async (_dispatcherId, batch) => {
      batches.push(batch);
      return { kind: 'ended', end: await reply(batch, batches.length) };
    },
    recordLost: () => undefined,
    withdraw: () => undefined,
  };
  const planner: Pick<StepPlanner, 'plan' | 'commit'> = {
    plan: (_serviceId, _demand, tasks, excluded): StepPlan | undefined => {
      // Each later pass plans without the dispatchers that returned tasks first, and then with them.
      counts.plans += excluded.size > 0 || counts.plans === 0 ? 1 : 0;
      const planned = dispatcherIds(counts.plans);
      const share = Math.ceil(tasks.length / (planned?.length ?? 1));
      const plannedBatches = planned?.map((dispatcherId, position): PlannedBatch => ({
        dispatcherId,
        tasks: tasks.slice(position * share, (position + 1) * share),
      }));
      return plannedBatches === undefined
        ? undefined
        : {
            batches: plannedBatches,
            ...{ lastEndAtMs: 0, startsNow: false, longestWaitMs: 0, oldestReportAgeMs: 0 },
            reservations: [],
          };
    },
    commit: () => undefined,
  };
  const jobs = RunningJobs.create({
    ...{ clock, logger: silentLogger, metrics: noMetrics, sender },
    planner: planner as StepPlanner,
    admission: createAdmission(clock),
    lengths: RunTimePredictor.create(),
    leaseTimes: unconfirmedLeaseTimes(1_000),
    contact: CallerContact.create(clock),
    standstills: { check: () => undefined, settlingMs: 0 },
  });
  const ended: { end?: JobEnd; atMs?: number } = {};
  const { signal } = new AbortController();
  void jobs
    .submit(routeFixture, request, 20_000, signal, { isHeldElsewhere: () => false })
    .then((end) => {
      Object.assign(ended, { end, atMs: clock.nowMs() });
    });
  return { clock, batches, counts, ended };
};

// Guards against a job that is given up although another worker takes its last task a moment later.
test('a returned task of a job that has started waits until a dispatcher takes it', async () => {
  const { clock, ended, batches, counts } = createFixture(
    (plans) => (plans >= 2 && plans < 8 ? undefined : ['other']),
    (batch, count) => (count === 1 ? replyOf(true, doneAt(0), returnedAt(1)) : allDone(batch)),
  );
  await clock.advance(400);
  assert.is(ended.end, undefined);
  await clock.advance(600);
  assert.equal(ended.end, { kind: 'completed' });
  assert.equal(
    batches.map(({ tasks }) => tasks.map(({ index }) => index)),
    [[0, 1], [1]],
  );
  assert.ok(counts.plans < 12);
});

// Guards against a job that keeps its caller waiting although nothing of it runs and nobody takes it.
test('a job of which nothing was started is refused as soon as no dispatcher takes it', async () => {
  const { clock, ended } = createFixture(
    (plans) => (plans === 1 ? ['other'] : undefined),
    () => replyOf(false, returnedAt(0), returnedAt(1)),
  );
  await clock.advance(50);
  assert.is(ended.end?.kind, 'refused');
});

// Guards against a wait that never ends, that spins, or whose end is told as if nothing had run.
test('a task that no dispatcher takes in time ends its job before its caller leaves', async () => {
  const { clock, ended, counts } = createFixture(
    (plans) => (plans === 1 ? ['other'] : undefined),
    () => replyOf(true, doneAt(0), returnedAt(1)),
  );
  await clock.advance(20_000);
  assert.is(ended.end?.kind, 'given-up');
  assert.ok((ended.atMs ?? Infinity) < 20_000);
  assert.ok(counts.plans < 200);
});

// Guards against a job that is given up, and its running tasks stopped, by the time until which it could be refused.
test('a task that expired unstarted is placed again where another one of its job runs', async () => {
  const { clock, ended, batches } = createFixture(
    (plans) => (plans === 1 ? ['one', 'two'] : ['one']),
    async (batch, count) => {
      await clock.sleep([3_000, 1_200, 500][count - 1] ?? 0);
      return count === 2 ? replyOf(false, expiredAt(1)) : allDone(batch);
    },
  );
  await clock.advance(4_000);
  assert.equal(ended.end, { kind: 'completed' });
  assert.equal(
    batches.map(({ tasks }) => tasks.map(({ index, nextRun }) => [index, nextRun])),
    [[[0, 1]], [[1, 1]], [[1, 1]]],
  );
  const [, , again] = batches;
  assert.is(again?.expiresInMs, again?.giveUpInMs);
});

// Guards against a job that is run late, or refused late, although its caller could be told to try again.
test('a job all of whose tasks expired unstarted is refused when the last of them has', async () => {
  const { clock, ended, batches } = createFixture(
    () => ['one', 'two'],
    async ({ tasks }, count) => {
      await clock.sleep(count * 600);
      return replyOf(false, ...tasks.map(({ index }) => expiredAt(index)));
    },
  );
  await clock.advance(1_300);
  assert.is(ended.end?.kind, 'refused');
  assert.is(batches.length, 2);
});

// Guards against another start of a task that may have run at the dispatcher at which it expired.
test('a task that expired in a batch of which something was started is not placed again', async () => {
  const { clock, ended, batches } = createFixture(
    () => ['one'],
    () => replyOf(true, doneAt(0), expiredAt(1)),
  );
  await clock.advance(1_000);
  assert.is(ended.end?.kind, 'given-up');
  assert.is(batches.length, 1);
});

// Guards against a dispatcher that returns a task again and again without a pause.
test('a task that is returned more often is sent again with a longer pause', async () => {
  const { clock, ended, batches } = createFixture(
    () => ['other'],
    (batch, count) =>
      count <= 20
        ? replyOf(true, ...(count === 1 ? [doneAt(0)] : []), returnedAt(1))
        : allDone(batch),
  );
  await clock.advance(1_000);
  assert.is(ended.end, undefined);
  assert.ok(batches.length < 18);
  await clock.advance(2_000);
  assert.equal(ended.end, { kind: 'completed' });
});

/** Admission with demand of a more urgent route, and load reports until 40 ms have passed. */
const scarceUntilReportsExpire = (clock: FakeClock): JobAdmission => {
  const capacityCpuMillis = 640_000;
  const admission = JobAdmission.create({
    ...{ clock, logger: silentLogger, metrics: noMetrics, random: SeededRandom.create(1) },
    schedulingPolicy: 'priority',
    serviceLoadOf: () => ({
      ...{ freeCpuMillis: 0 },
      capacityCpuMillis: clock.nowMs() < 40 ? capacityCpuMillis : 0,
    }),
  });
  const urgentRoute = { ...routeFixture, routeId: 'urgent', priority: -1 };
  admission.recordArrival({ route: urgentRoute, steps: request.steps });
  const usual = { route: routeFixture, steps: request.steps };
  admission.recordArrival(usual);
  admission.recordAdmission(usual);
  return admission;
};

// Guards against a job that waits for free capacity that no report shows any more, until its caller has left.
test('a job that waits when the load reports expire goes to what is left', async () => {
  const { clock, ended, batches } = createFixture(() => ['own'], allDone, scarceUntilReportsExpire);
  await clock.advance(30);
  assert.is(batches.length, 0);
  await clock.advance(40);
  assert.is(batches.length, 1);
  assert.equal(ended.end, { kind: 'completed' });
});

// Guards against a caller that learns only at its deadline that no worker can be reached, and against a batch sent before.
test('a job that waits when the load reports of all workers expire is refused at once', async () => {
  const { clock, ended, batches } = createFixture(
    () => undefined,
    allDone,
    scarceUntilReportsExpire,
  );
  await clock.advance(30);
  assert.is(ended.end, undefined);
  await clock.advance(40);
  assert.is(ended.end?.kind, 'refused');
  assert.is(batches.length, 0);
});

test.run();
