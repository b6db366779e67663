import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { noMetrics } from '../adapters/system/noMetrics.js';
import type { RunningJobs } from '../bestEffort/runningJobs.js';
import type { JobRequest } from '../ports/jobs.js';
import { RoutingStore } from '../routing/routingStore.js';
import { FakeClock } from '../testing/fakeClock.js';
import { silentLogger } from '../testing/silentLogger.js';
import type { Route } from '../types/routing.js';
import type { TaskFit, WorkerDirectory } from '../workers/workerDirectory.js';
import type { HeldClaim } from './heldJobs.js';
import type { JobCancellation } from './jobCancellation.js';
import { JobIntake } from './jobIntake.js';
import type { JobJoins } from './jobJoins.js';
import type { JoinOutcome } from './joinOutcome.js';

const route: Route = {
  routeId: 'r',
  host: 'jobs.example',
  pathPrefix: '/fit/',
  serviceId: 'fit',
  priority: 0,
  maxFailedRuns: 3,
  timeoutMs: 1_500,
  objectiveStretch: 1.6,
  objectiveSlackMs: 60,
};

const noJobIsHeld: Pick<JobJoins, 'isHeldElsewhere' | 'isWaiting'> = {
  isHeldElsewhere: () => false,
  isWaiting: () => false,
};
const noHolders = { held: { claimsOn: () => [] }, dispatcher: { openBatchesOfJob: () => [] } };
const noJoins = {
  ...noHolders,
  clock: FakeClock.create(),
  joins: noJobIsHeld as JobJoins,
};
const promptRequests = {
  overload: { isReady: true },
  contact: { waitOf: () => ({ waitedMs: 0, acceptWaitMs: 0, unreadMs: 0, linkDelayMs: 0 }) },
  standstills: { check: () => undefined },
};

const needs = { resources: { cpuMillis: 1_000, memoryMb: 64, accelerators: 0 } };
const requestOf = (jobId: string): JobRequest => ({
  ...{ jobId, spec: '', unsupported: [] },
  steps: [{ taskCount: 1, estimatedMs: 1_000, after: [], needs }],
});

test('a stopping daemon answers a repeated request of a running job with the end of that job', async () => {
  const jobs: Pick<RunningJobs, 'state' | 'submit' | 'mayHaveRun'> = {
    state: (jobId) => (jobId === 'running' ? 'running' : 'unknown'),
    mayHaveRun: (jobId) => jobId === 'running' || jobId === 'given-up',
    submit: () => Promise.resolve({ kind: 'completed' }),
  };
  const directory: Pick<WorkerDirectory, 'fitOf'> = { fitOf: () => 'fits' };
  const intake = JobIntake.create({
    logger: silentLogger,
    metrics: noMetrics,
    routing: RoutingStore.create(),
    directory: directory as WorkerDirectory,
    jobs: jobs as RunningJobs,
    ...noJoins,
    cancellation: undefined as unknown as JobCancellation,
    ...promptRequests,
  });
  intake.close();
  const { signal } = new AbortController();
  const repeated = await intake.submit(route, requestOf('running'), 1_000, signal);
  assert.equal(repeated, { kind: 'completed' });
  const fresh = await intake.submit(route, requestOf('new'), 1_000, signal);
  assert.is(fresh.kind, 'refused');
});

// Guards against a caller that is told that its job does not run, or can't, while it runs for its first request.
test('a repeated request of a running job waits for it, whatever the workers have become', async () => {
  for (const fit of ['shrunk', 'unlisted'] as const) {
    const jobs: Pick<RunningJobs, 'state' | 'submit'> = {
      state: (jobId) => (jobId === 'running' ? 'running' : 'unknown'),
      submit: () => Promise.resolve({ kind: 'completed' }),
    };
    const directory: Pick<WorkerDirectory, 'fitOf'> = { fitOf: () => fit };
    const intake = JobIntake.create({
      logger: silentLogger,
      metrics: noMetrics,
      routing: RoutingStore.create(),
      directory: directory as WorkerDirectory,
      jobs: jobs as RunningJobs,
      ...noJoins,
      cancellation: undefined as unknown as JobCancellation,
      ...promptRequests,
    });
    const needs = { resources: { cpuMillis: 14_000, memoryMb: 64, accelerators: 0 } };
    const steps = [{ taskCount: 1, estimatedMs: 100, after: [], needs }];
    const { signal } = new AbortController();
    const repeated = { ...requestOf('running'), steps };
    assert.equal(await intake.submit(route, repeated, 1_000, signal), { kind: 'completed' });
    const fresh = await intake.submit(route, { ...repeated, jobId: 'new' }, 1_000, signal);
    assert.not.equal(fresh.kind, 'completed');
  }
});

// Guards against jobs that are answered as failed, though none of their tasks has, while workers have shrunk or are not
// listed: a worker that restarts, another kind, or a part of the list that is not read yet.
test('a job that fits on no worker that is listed now is refused for now, never failed', async () => {
  const noJobs: Pick<RunningJobs, 'state'> = { state: () => 'unknown' };
  const intakeFor = (fit: TaskFit): JobIntake => {
    const directory: Pick<WorkerDirectory, 'fitOf'> = { fitOf: () => fit };
    return JobIntake.create({
      logger: silentLogger,
      metrics: noMetrics,
      routing: RoutingStore.create(),
      directory: directory as WorkerDirectory,
      jobs: noJobs as RunningJobs,
      ...noJoins,
      cancellation: undefined as unknown as JobCancellation,
      ...promptRequests,
    });
  };
  const needs = { resources: { cpuMillis: 14_000, memoryMb: 64, accelerators: 0 } };
  const step = { taskCount: 1, estimatedMs: 100, after: [], needs };
  const request = { ...requestOf('large'), steps: [step] };
  const { signal } = new AbortController();
  for (const [fit, retryAfterMs] of [
    ['shrunk', 2_000],
    ['unlisted', 5_000],
  ] as const) {
    const end = await intakeFor(fit).submit(route, request, 1_000, signal);
    assert.is(end.kind, 'refused', fit);
    assert.is(end.kind === 'refused' ? end.retryAfterMs : 0, retryAfterMs, fit);
    assert.match(end.kind === 'refused' ? end.reason : '', 'now', fit);
  }
});

// Guards against a job that starts beside its runs at another daemon, or without the time that its caller has waited for them.
test('a job that another daemon holds starts only when the wait for it permits that, with what is left of its time', async () => {
  const clock = FakeClock.create();
  const started: number[] = [];
  const jobs: Pick<RunningJobs, 'state' | 'submit'> = {
    state: () => 'unknown',
    submit: (_route, _request, deadlineMs) => {
      started.push(deadlineMs);
      return Promise.resolve({ kind: 'completed' });
    },
  };
  let outcome: JoinOutcome = { kind: 'ended', end: { kind: 'failed', reason: 'it has failed' } };
  const joins: Pick<JobJoins, 'isHeldElsewhere' | 'wait'> = {
    isHeldElsewhere: (jobId) => jobId === 'held',
    wait: async ({ earliestSentAtMs }) => {
      assert.is(earliestSentAtMs, clock.nowMs() - 300);
      await clock.sleep(1_000);
      return outcome;
    },
  };
  const directory: Pick<WorkerDirectory, 'fitOf'> = { fitOf: () => 'fits' };
  const intake = JobIntake.create({
    ...{ clock, logger: silentLogger, metrics: noMetrics, routing: RoutingStore.create() },
    ...promptRequests,
    ...noHolders,
    contact: { waitOf: () => ({ waitedMs: 300, acceptWaitMs: 0, unreadMs: 300, linkDelayMs: 0 }) },
    directory: directory as WorkerDirectory,
    jobs: jobs as RunningJobs,
    joins: joins as JobJoins,
    cancellation: undefined as unknown as JobCancellation,
  });
  const { signal } = new AbortController();
  const submit = (jobId: string) => intake.submit(route, requestOf(jobId), 5_000, signal);
  assert.is((await submit('free')).kind, 'completed');
  assert.equal(started, [5_000]);
  const joined = submit('held');
  await clock.advance(1_000);
  assert.is((await joined).kind, 'failed');
  assert.is(started.length, 1);
  outcome = { kind: 'start', evidence: 'holder-has-none' };
  const permitted = submit('held');
  await clock.advance(1_000);
  assert.is((await permitted).kind, 'completed');
  assert.is(started[1], 5_000 - 300 - 1_000);
  const late = submit('held');
  intake.close();
  await clock.advance(1_000);
  assert.is((await late).kind, 'refused');
  assert.is(started.length, 2);
});

// Guards against a job that starts beside its run at another daemon, whose statement is read in the turns before the first start.
test('a job waits that another daemon states to hold before the first start, and only for what was not known yet', async () => {
  const clock = FakeClock.create();
  const claims: HeldClaim[] = [];
  const settlingMs = 10;
  const started: number[] = [];
  const jobs: Pick<RunningJobs, 'state' | 'submit'> = {
    state: () => 'unknown',
    submit: async (_route, _request, deadlineMs, _signal, { isHeldElsewhere }) => {
      await clock.sleep(settlingMs);
      if (isHeldElsewhere()) {
        return { kind: 'held-elsewhere' };
      }
      started.push(deadlineMs);
      return { kind: 'completed' };
    },
  };
  const joins: Pick<JobJoins, 'isHeldElsewhere' | 'wait'> = {
    isHeldElsewhere: () => false,
    wait: async ({ earliestSentAtMs }) => {
      assert.is(earliestSentAtMs, 0);
      await clock.sleep(1_000);
      return { kind: 'start', evidence: 'holder-has-none' };
    },
  };
  const directory: Pick<WorkerDirectory, 'fitOf'> = { fitOf: () => 'fits' };
  const intake = JobIntake.create({
    ...{ clock, logger: silentLogger, metrics: noMetrics, routing: RoutingStore.create() },
    ...promptRequests,
    ...noHolders,
    held: { claimsOn: () => claims },
    directory: directory as WorkerDirectory,
    jobs: jobs as RunningJobs,
    joins: joins as JobJoins,
    cancellation: undefined as unknown as JobCancellation,
  });
  const { signal } = new AbortController();
  const end = intake.submit(route, requestOf('job'), 5_000, signal);
  claims.push({ jobId: 'job', holder: 'other', via: undefined, untilMs: 9_000 });
  await clock.advance(settlingMs);
  assert.equal(started, []);
  await clock.advance(1_000 + settlingMs);
  assert.equal(started, [5_000 - settlingMs - 1_000]);
  assert.equal(await end, { kind: 'completed' });
});

// Guards against a job that occupies workers although its caller leaves, or has no use for a response, before its end;
// and against a refusal of a job of which a task may have run for an earlier request, or of a request that may have
// arrived a moment ago.
test('a request that was on its way for too long is refused at once, unless a task of its job may have run', async () => {
  const clock = FakeClock.create();
  let linkDelayMs = 4_700;
  let unreadMs = 0;
  const started: string[] = [];
  const jobs: Pick<RunningJobs, 'state' | 'submit' | 'mayHaveRun'> = {
    state: (jobId) => (jobId === 'running' ? 'running' : 'unknown'),
    mayHaveRun: (jobId) => jobId === 'running' || jobId === 'given-up',
    submit: (_route, { jobId }) => {
      started.push(jobId);
      return Promise.resolve({ kind: 'completed' });
    },
  };
  const directory: Pick<WorkerDirectory, 'fitOf'> = { fitOf: () => 'fits' };
  const intake = JobIntake.create({
    ...{ clock, logger: silentLogger, metrics: noMetrics, routing: RoutingStore.create() },
    ...noJoins,
    ...promptRequests,
    held: {
      claimsOn: (jobId) =>
        jobId === 'held' ? [{ jobId, holder: 'other', via: undefined, untilMs: 9_000 }] : [],
    },
    contact: {
      waitOf: () => ({
        ...{ waitedMs: Math.max(unreadMs, linkDelayMs), acceptWaitMs: 0, unreadMs, linkDelayMs },
      }),
    },
    directory: directory as WorkerDirectory,
    jobs: jobs as RunningJobs,
    cancellation: undefined as unknown as JobCancellation,
  });
  const { signal } = new AbortController();
  const submit = (jobId: string) => intake.submit(route, requestOf(jobId), 5_000, signal);
  assert.is((await submit('late')).kind, 'refused');
  assert.is((await submit('running')).kind, 'completed');
  assert.is((await submit('held')).kind, 'completed');
  assert.is((await submit('given-up')).kind, 'completed');
  linkDelayMs = 1_000;
  assert.is((await submit('prompt')).kind, 'completed');
  linkDelayMs = 0;
  unreadMs = 4_700;
  assert.is((await submit('unread')).kind, 'completed');
  assert.equal(started, ['running', 'held', 'given-up', 'prompt', 'unread']);
});

test.run();
