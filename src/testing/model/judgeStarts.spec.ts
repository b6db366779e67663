import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { findBudgetViolations, findLimitViolations } from './judgeStarts.js';
import type { ModelRun, ModelRunEnd } from './modelRun.js';

const createRun = (
  startedAtMs: number,
  endedAtMs: number,
  how: ModelRunEnd,
  workerId = 'i-0',
): ModelRun => ({
  ...{ workerId, life: 1, taskName: '1.0.0.0', run: 1, startedAtMs, endedAtMs, how },
  workerCpuMillis: 32_000,
  spec: { attempt: '1/0', runMs: 100, cpuMillis: 20_000, isFailing: false, isDeadly: true },
});

const crashes = [0, 200, 400].map((atMs) => createRun(atMs, atMs + 100, 'crashed'));

// Guards against a judge that lets a task take one worker after the other with it.
test('three starts after three crashes under a task that crashes its workers break a rule', () => {
  const later = [600, 800, 1_000].map((atMs) => createRun(atMs, atMs + 100, 'stopped'));
  assert.equal(findBudgetViolations([...crashes, ...later.slice(0, 2)]), []);
  assert.is(findBudgetViolations([...crashes, ...later])[0]?.rule, 'budget');
});

// Guards against a judge that blames a task for crashes that it did not cause.
test('a task that crashes no worker may start as often as its workers crash', () => {
  const runs = Array.from({ length: 8 }, (_, index) => {
    const run = createRun(index * 200, index * 200 + 100, 'crashed');
    return { ...run, spec: { ...run.spec, isDeadly: false } };
  });
  assert.equal(findBudgetViolations(runs), []);
});

// Guards against a judge that lets a worker without a check run more than it has room for.
test('a start over the capacity of a worker breaks a rule, while the other run is being stopped, too', () => {
  const first = createRun(0, 100, 'stopped');
  assert.is(findLimitViolations([first, createRun(99, 200, 'done')])[0]?.rule, 'limit');
  assert.equal(findLimitViolations([first, createRun(100, 200, 'done')]), []);
  assert.equal(findLimitViolations([first, createRun(50, 200, 'done', 'i-1')]), []);
});

test.run();
