import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { batchFixture } from '../testing/dispatchFixtures.js';
import { FakeClock } from '../testing/fakeClock.js';
import { createRun } from './activeRun.js';
import type { ActiveRun } from './activeRun.js';
import { OpenBatch } from './openBatch.js';
import { UnansweredStarts } from './unansweredStarts.js';
import { WorkerLifetime } from './workerLifetime.js';

const workerId = 'i-0';

const createFixture = () => {
  const clock = FakeClock.create();
  const starts = UnansweredStarts.create(clock);
  const lifetime = WorkerLifetime.create(clock);
  const [task] = OpenBatch.create('vm', batchFixture, 0).tasks;
  assert.ok(task);
  const needs = batchFixture.needs.resources;
  const remember = (taskName: string, startedAtMs?: number): ActiveRun => {
    const run = createRun({ task, taskName, needs, expectedMs: 100 }, clock.nowMs());
    run.startedAtMs = startedAtMs;
    starts.remember(run, { workerId, lifetime });
    return run;
  };
  const names = (): string[] => starts.listUnconfirmed(workerId).map(({ run }) => run.taskName);
  const beginLifetime = (startedAtMs: number): void => {
    lifetime.observe({ startedAtMs, workerClockMs: 0 }, clock.nowMs());
  };
  return { clock, starts, remember, names, beginLifetime };
};

// Guards against stops of runs that nobody started, and against memory that grows with unanswered starts.
test('each lifetime is told of the unanswered starts that may still arrive, until it has confirmed', async () => {
  const { clock, starts, remember, names, beginLifetime } = createFixture();
  beginLifetime(1);
  const run = remember('a');
  remember('answered', 1);
  assert.equal(names(), ['a']);
  assert.equal(names(), ['a'], 'not confirmed');
  starts.recordConfirmed(run, workerId, 1);
  assert.equal(names(), []);
  await clock.advance(6_000);
  remember('b');
  beginLifetime(2);
  assert.equal(names(), ['a', 'b']);
  await clock.advance(6_000);
  assert.equal(names(), ['b']);
  Array.from({ length: 1_000 }, (_, index) => remember(`many ${index}`));
  assert.ok(names().length < 300);
});

// Guards against a run elsewhere beside the one that a late start begins in the next lifetime.
test('a task is bound to the worker of its unanswered start until that is known to be over', async () => {
  const { clock, starts, remember, beginLifetime } = createFixture();
  beginLifetime(1);
  const run = remember('a');
  assert.equal(starts.bindingOf('a'), { workerId, kind: 'unconfirmed' });
  starts.recordConfirmed(run, workerId, 1);
  assert.equal(starts.bindingOf('a'), { workerId, kind: 'confirmed' });
  beginLifetime(2);
  assert.equal(starts.bindingOf('a'), { workerId, kind: 'unconfirmed' }, 'a later lifetime');
  starts.recordConfirmed(run, workerId, 1);
  assert.equal(starts.bindingOf('a'), { workerId, kind: 'unconfirmed' }, 'an earlier lifetime');
  await clock.advance(10_001);
  assert.is(starts.bindingOf('a'), undefined);
});

// Guards against tasks that wait for a start whose end is known.
test('a start that was answered, listed, or can reach nobody binds no task', () => {
  const { starts, remember } = createFixture();
  starts.forget(remember('a'), workerId);
  remember('b').startedAtMs = 1;
  remember('c');
  starts.forgetWorker(workerId);
  for (const taskName of ['a', 'b', 'c']) {
    assert.is(starts.bindingOf(taskName), undefined);
  }
});

// Guards against a task that waits on and on for a worker that answers stops and reports, and no starts.
test('a second start without an answer at a worker ends the binding', () => {
  const { starts, remember } = createFixture();
  remember('a');
  remember('a');
  assert.is(starts.bindingOf('a'), undefined);
});

test.run();
