import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { CallerClass, Operation } from '../types/inventory.js';
import { FakeClock } from '../testing/fakeClock.js';
import { createQueueOperation, createWaitingTask } from '../testing/queueFixtures.js';
import { TaskQueue } from './taskQueue.js';
import type { PendingTask } from './types.js';

const fit = createQueueOperation('fit', 100);
const grade = createQueueOperation('grade', 400);
const lookup = createQueueOperation('lookup', 50);
const operations = [fit, grade, lookup];

const pushJob = (
  queue: TaskQueue,
  jobId: string,
  count: number,
  rest: { teamId?: string; callerClass?: CallerClass; operation?: Operation } = {},
): void => {
  for (let index = 0; index < count; index += 1) {
    queue.push(createWaitingTask({ jobId, operation: fit, ...rest, index }));
  }
};

const takeJobs = (queue: TaskQueue, count: number): string[] =>
  Array.from({ length: count }, () => queue.takeNext(() => true)?.task.jobId ?? 'none');

test('serves a short job before the rest of a 230-task job', () => {
  const queue = TaskQueue.create(FakeClock.create());
  pushJob(queue, 'long', 230);
  assert.equal(takeJobs(queue, 3), ['long', 'long', 'long']);
  pushJob(queue, 'short', 2);
  assert.equal(takeJobs(queue, 3), ['short', 'short', 'long']);
});

test('lets newer short jobs overtake a long job only for as much slot-time as its own work', () => {
  const queue = TaskQueue.create(FakeClock.create());
  pushJob(queue, 'long', 10);
  let overtaken = 0;
  for (let i = 0; i < 100 && queue.size > 0; i += 1) {
    pushJob(queue, `short${i}`, 1);
    if (queue.takeNext(() => true)?.task.jobId === 'long') {
      break;
    }
    overtaken += 1;
  }
  assert.is(overtaken, 9);
});

test('starts the longest expected task of a job first', () => {
  const queue = TaskQueue.create(FakeClock.create());
  for (const [index, operation] of [fit, lookup, grade, fit].entries()) {
    queue.push(createWaitingTask({ jobId: 'job', operation, index }));
  }
  const order = [1, 2, 3, 4].map(() => queue.takeNext(() => true)?.task.operation.operationId);
  assert.equal(order, ['grade', 'fit', 'fit', 'lookup']);
});

test('charges the true slot-time, so that wrong expected run times do not skew the shares', () => {
  const queue = TaskQueue.create(FakeClock.create());
  const slow = createQueueOperation('slow', 100);
  pushJob(queue, 'a', 200, { teamId: 'a', operation: slow });
  pushJob(queue, 'b', 200, { teamId: 'b' });
  const servedMs = new Map([
    ['a', 0],
    ['b', 0],
  ]);
  for (let i = 0; i < 110; i += 1) {
    const entry = queue.takeNext(() => true);
    assert.ok(entry);
    const slotTimeMs = entry.task.teamId === 'a' ? 1_000 : 100;
    servedMs.set(entry.task.teamId, (servedMs.get(entry.task.teamId) ?? 0) + slotTimeMs);
    queue.ended(entry, slotTimeMs);
  }
  const differenceMs = Math.abs((servedMs.get('a') ?? 0) - (servedMs.get('b') ?? 0));
  assert.ok(differenceMs <= 1_000, `${differenceMs} ms`);
});

test('checks each operation once and withdraws only the tasks of the job', () => {
  const queue = TaskQueue.create(FakeClock.create());
  for (const operation of operations) {
    pushJob(queue, `job-${operation.operationId}`, 50, { operation });
    pushJob(queue, `trial-${operation.operationId}`, 50, { operation, callerClass: 'trial' });
  }
  const checked: string[] = [];
  const entry = queue.takeNext(({ operationId }) => checked.push(operationId) < 0);
  assert.is(entry, undefined);
  assert.equal(checked.sort(), ['fit', 'grade', 'lookup']);
  assert.is(queue.withdraw('job-fit').length, 50);
  assert.equal(queue.withdraw('job-fit'), []);
  assert.is(queue.size, 250);
  assert.is(queue.takeNext((operation) => operation === fit)?.task.jobId, 'trial-fit');
});

test('moves waiting work of a caller whose class or team has changed', () => {
  const queue = TaskQueue.create(FakeClock.create());
  pushJob(queue, 'moved', 3, { teamId: 'a' });
  pushJob(queue, 'kept', 3, { teamId: 'b' });
  queue.setCallerGroups((callerId) =>
    callerId === 'a-caller' ? { callerClass: 'trial', teamId: 'c' } : undefined,
  );
  assert.is(queue.classQueueOf('trial').waiting.total, 3);
  assert.equal(takeJobs(queue, 5), ['kept', 'kept', 'kept', 'moved', 'none']);
  pushJob(queue, 'later', 1, { teamId: 'a' });
  assert.is(queue.classQueueOf('trial').team('c')?.waiting.total, 3);
});

// Guards against a team that starts more tasks than its quota allows, by tasks that come back without a start.
test('a task that comes back has used the start of its team, and its slot is free', async () => {
  const clock = FakeClock.create();
  const queue = TaskQueue.create(clock);
  const limit = { startsPerS: 10, slots: 1 };
  queue.setQuota('members', { limit, expiresAtMs: Infinity, limitAfterExpiry: limit });
  pushJob(queue, 'job', 5);
  for (let i = 0; i < 20; i += 1) {
    const entry = queue.takeNext(() => true);
    assert.ok(entry);
    queue.ended(entry, 0);
    queue.push(entry);
    assert.is(queue.size, 5);
    assert.is(
      queue.takeNext(() => true),
      undefined,
      'the bucket holds one start',
    );
    await clock.advance(100);
  }
});

test('an offloaded task counts against no quota', () => {
  const queue = TaskQueue.create(FakeClock.create());
  const limit = { startsPerS: 10, slots: 2 };
  queue.setQuota('members', { limit, expiresAtMs: Infinity, limitAfterExpiry: limit });
  pushJob(queue, 'job', 5);
  assert.ok(queue.takeNext(() => true));
  const offloaded = createWaitingTask({ jobId: 'offloaded', operation: fit });
  queue.push({ ...offloaded, task: { ...offloaded.task, isOffloaded: true } });
  queue.setCallerGroups(() => ({ callerClass: 'paying', teamId: 'members' }));
  assert.equal(takeJobs(queue, 2), ['offloaded', 'none']);
});

/** One step of a random sequence of calls to the queue. */
const stepArbitrary = fc.oneof(
  fc.record({
    kind: fc.constant('push' as const),
    jobId: fc.integer({ min: 0, max: 8 }),
    operation: fc.constantFrom(...operations),
  }),
  fc.record({
    kind: fc.constant('take' as const),
    free: fc.subarray(operations),
  }),
  fc.record({
    kind: fc.constant('end' as const),
    slotTimeMs: fc.integer({ min: 0, max: 5_000 }),
  }),
  fc.record({ kind: fc.constant('withdraw' as const), jobId: fc.integer({ min: 0, max: 8 }) }),
);

test('takes each task once, leaves no slot idle, takes paying tasks before trial tasks', () => {
  const property = fc.property(fc.array(stepArbitrary, { maxLength: 120 }), (steps) => {
    const queue = TaskQueue.create(FakeClock.create());
    const waiting = new Set<PendingTask>();
    const running: PendingTask[] = [];
    const removeWaiting = (entry: PendingTask) =>
      assert.ok(waiting.delete(entry), 'a task left the queue twice');
    for (const [index, step] of steps.entries()) {
      switch (step.kind) {
        case 'push': {
          const callerClass = step.jobId % 2 === 0 ? 'paying' : 'trial';
          const { operation } = step;
          const jobId = `${step.jobId}`;
          const teamId = `${step.jobId % 3}`;
          const entry = createWaitingTask({ jobId, teamId, callerClass, operation, index });
          waiting.add(entry);
          queue.push(entry);
          break;
        }
        case 'take': {
          const runnable = [...waiting].filter(({ task }) => step.free.includes(task.operation));
          const payingWaits = runnable.some(({ task }) => task.callerClass === 'paying');
          const entry = queue.takeNext((operation) => step.free.includes(operation));
          const isExpected = payingWaits || (runnable.length > 0 && !isTrialRunning(running));
          assert.is(entry !== undefined, isExpected);
          if (entry !== undefined) {
            assert.is(entry.task.callerClass, payingWaits ? 'paying' : 'trial');
            assert.ok(step.free.includes(entry.task.operation));
            removeWaiting(entry);
            running.push(entry);
          }
          break;
        }
        case 'end': {
          const entry = running.pop();
          if (entry !== undefined) {
            queue.ended(entry, step.slotTimeMs);
          }
          break;
        }
        case 'withdraw':
          queue.withdraw(`${step.jobId}`).forEach(removeWaiting);
          assert.not.ok([...waiting].some(({ task }) => task.jobId === `${step.jobId}`));
          break;
      }
      assert.is(queue.size, waiting.size);
    }
  });
  fc.assert(property, { seed: 5, numRuns: 500 });
});

/** Without endpoints the cap of trial work is one slot. */
const isTrialRunning = (running: readonly PendingTask[]): boolean =>
  running.some(({ task }) => task.callerClass === 'trial');

test('gives teams that always wait nearly equal slot-time, whatever their jobs', () => {
  const teamArbitrary = fc.array(
    fc.record({
      count: fc.integer({ min: 1, max: 20 }),
      operation: fc.constantFrom(...operations),
    }),
    { minLength: 1, maxLength: 5 },
  );
  const property = fc.property(fc.array(teamArbitrary, { minLength: 2, maxLength: 6 }), (teams) => {
    const queue = TaskQueue.create(FakeClock.create());
    const servedMs = teams.map(() => 0);
    teams.forEach((jobs, team) =>
      jobs.forEach(({ count, operation }, job) =>
        pushJob(queue, `${team}-${job}`, count * 100, { teamId: `${team}`, operation }),
      ),
    );
    for (let i = 0; i < 60; i += 1) {
      const entry = queue.takeNext(() => true);
      assert.ok(entry);
      const slotTimeMs = entry.task.operation.declaredRunTimeMs;
      const team = Number(entry.task.teamId);
      servedMs[team] = (servedMs[team] ?? 0) + slotTimeMs;
      queue.ended(entry, slotTimeMs);
    }
    const spreadMs = Math.max(...servedMs) - Math.min(...servedMs);
    assert.ok(spreadMs <= grade.declaredRunTimeMs, `${spreadMs} ms`);
  });
  fc.assert(property, { seed: 6, numRuns: 100 });
});

test.run();
