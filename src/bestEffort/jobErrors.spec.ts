import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { unconfirmedLeaseTimes } from '../dispatch/leaseTimes.js';
import { noMetrics } from '../adapters/system/noMetrics.js';
import { CallerContact } from '../fleet/callerContact.js';
import type { JobRequest } from '../ports/jobs.js';
import { workerFixture } from '../testing/dispatchFixtures.js';
import { FakeClock } from '../testing/fakeClock.js';
import { fleetRoute } from '../testing/fleetFixture.js';
import { createPlanOnlyAdmission } from '../testing/planOnlyAdmission.js';
import { silentLogger } from '../testing/silentLogger.js';
import type { BatchSender } from './batchSender.js';
import { RunTimePredictor } from './runTimePredictor.js';
import { RunningJobs } from './runningJobs.js';
import type { StepPlan, StepPlanner } from './stepPlanner.js';

const needs = { resources: { cpuMillis: 1_000, memoryMb: 64, accelerators: 0 } };
const step = { taskCount: 1, estimatedMs: 100, after: [], needs };
const request: JobRequest = {
  jobId: '0000000000000001',
  spec: '',
  steps: [step, step],
  unsupported: [],
};

const plan: StepPlan = {
  batches: [
    { dispatcherId: 'other', tasks: [{ index: 0, nextRun: 1, failedRuns: 0, lostWorkers: 0 }] },
  ],
  lastEndAtMs: 100,
  startsNow: true,
  longestWaitMs: 0,
  oldestReportAgeMs: 0,
  reservations: [],
};

/** Jobs whose first step has a batch at work when the plan of the second one fails. */
const createFixture = () => {
  const clock = FakeClock.create();
  const withdrawn: string[] = [];
  const sender: BatchSender = {
    nextBatchId: () => 'b-1',
    run: () => new Promise(() => undefined),
    recordLost: () => undefined,
    withdraw: (_dispatcherId, batchId) => void withdrawn.push(batchId),
  };
  let plans = 0;
  const planner: Pick<StepPlanner, 'plan' | 'commit'> = {
    plan: () => {
      plans += 1;
      if (plans === 2) {
        throw new Error('a fault of the plan');
      }
      return plan;
    },
    commit: () => undefined,
  };
  const jobs = RunningJobs.create({
    clock,
    logger: silentLogger,
    metrics: noMetrics,
    planner: planner as StepPlanner,
    sender,
    admission: createPlanOnlyAdmission(clock),
    lengths: RunTimePredictor.create(),
    leaseTimes: unconfirmedLeaseTimes(1_000),
    contact: CallerContact.create(clock),
    standstills: { check: () => undefined, settlingMs: 0 },
  });
  return { clock, jobs, withdrawn };
};

// Guards against runs that go on when an error in one job breaks its caller's connection, so that the caller
// sends the job again, and against a job of that id that no later request can start.
test('a job that meets an unexpected error is withdrawn and forgotten', async () => {
  const { clock, jobs, withdrawn } = createFixture();
  const route = { ...fleetRoute, serviceId: workerFixture.serviceId };
  const { signal } = new AbortController();
  const submitted = jobs
    .submit(route, request, 5_000, signal, { isHeldElsewhere: () => false })
    .then(
      (end) => end.kind,
      () => 'broken',
    );
  await clock.advance(1_000);
  assert.equal(withdrawn, ['b-1']);
  assert.is(await submitted, 'given-up');
  assert.is(jobs.size, 0);
});

test.run();
