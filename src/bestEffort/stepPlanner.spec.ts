import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { TaskDemand } from '../dispatch/workerChoice.js';
import type { MemberLoad } from '../types/fleet.js';
import { FakeClock } from '../testing/fakeClock.js';
import { SeededRandom } from '../testing/seededRandom.js';
import type { WorkerRecord } from '../types/workers.js';
import { FleetView } from './fleetView.js';
import { StepPlanner } from './stepPlanner.js';

const record = (workerId: string): WorkerRecord => ({
  workerId,
  address: '127.0.0.1:1',
  serviceId: 'fit',
  failureDomainId: 'east',
  state: 'ready',
  startedAtMs: 1,
  capacity: { cpuMillis: 32_000, memoryMb: 65_536, accelerators: 0 },
  labels: [],
});

/** The load of a dispatcher with one worker of 32 cores, whose used cores are free after a time. */
const load = (workerId: string, freeCpuMillis: number, releasedInMs = 100): MemberLoad => ({
  workers: [
    {
      workerId,
      free: { cpuMillis: freeCpuMillis, memoryMb: 60_000, accelerators: 0 },
      slowness: 1,
      isOpen: true,
      releases: [{ inMs: releasedInMs, cpuMillis: 32_000 - freeCpuMillis }],
    },
  ],
});

/** Tasks that need 14 cores each, run for 100 ms and should end within 300 ms. */
const demandAt = (nowMs: number): TaskDemand => ({
  needs: { resources: { cpuMillis: 14_000, memoryMb: 64, accelerators: 0 } },
  estimatedMs: 100,
  objectiveAtMs: nowMs + 300,
  giveUpAtMs: nowMs + 900,
});

const tasksOf = (count: number) =>
  Array.from({ length: count }, (_, index) => ({
    index,
    nextRun: 1,
    failedRuns: 0,
    lostWorkers: 0,
  }));

const createFixture = (ownFreeCpuMillis: number) => {
  const clock = FakeClock.create();
  const view = FleetView.create({
    clock,
    ownId: 'own',
    ownLoad: () => load('w-own', ownFreeCpuMillis),
    findWorker: record,
  });
  const random = SeededRandom.create(1);
  const planner = StepPlanner.create({ clock, random, view, farRackFactor: 1.5 });
  const plan = (count: number) =>
    planner.plan('fit', demandAt(clock.nowMs()), tasksOf(count), new Set());
  return { clock, view, planner, plan };
};

test('tasks go to the own dispatcher while it has free capacity, then to others', () => {
  const { view, plan } = createFixture(32_000);
  view.recordLoad('near', load('w-near', 32_000), 'near');
  assert.equal(
    plan(2)?.batches.map(({ dispatcherId, tasks }) => [dispatcherId, tasks.length]),
    [['own', 2]],
  );
  assert.equal(
    plan(4)?.batches.map(({ dispatcherId, tasks }) => [dispatcherId, tasks.length]),
    [
      ['own', 2],
      ['near', 2],
    ],
  );
});

test('tasks go to other failure domains only if the own one has no free capacity in time', () => {
  const { view, plan } = createFixture(14_000);
  view.recordLoad('near', load('w-near', 14_000), 'near');
  view.recordLoad('far', load('w-far', 32_000), 'far');
  const dispatchersOf = (count: number) =>
    plan(count)
      ?.batches.map(({ dispatcherId }) => dispatcherId)
      .sort();
  assert.equal(dispatchersOf(2), ['near', 'own']);
  assert.ok(dispatchersOf(4)?.includes('far'));
});

test('capacity that a committed plan uses is not free for the next plan', () => {
  const { view, planner, plan } = createFixture(0);
  view.recordLoad('near', load('w-near', 28_000), 'near');
  const first = plan(2);
  assert.ok(first);
  assert.is(first.longestWaitMs, 0);
  planner.commit(first);
  assert.ok((plan(2)?.longestWaitMs ?? 0) > 0);
});

test('a dispatcher whose reported load is too old gets no tasks', async () => {
  const { clock, view, plan } = createFixture(0);
  view.recordLoad('near', load('w-near', 32_000), 'near');
  await clock.advance(1_500);
  assert.equal(
    plan(1)?.batches.map(({ dispatcherId }) => dispatcherId),
    ['own'],
  );
});

test('without free capacity, the plan includes the wait until cores are released', () => {
  const { plan } = createFixture(0);
  const planned = plan(2);
  assert.is(planned?.longestWaitMs, 100);
  assert.is(planned?.lastEndAtMs, 200);
  assert.not.ok(planned?.startsNow);
});

test.run();
