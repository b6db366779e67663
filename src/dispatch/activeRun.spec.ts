import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { batchFixture } from '../testing/dispatchFixtures.js';
import { createRun, recordCover, recordDisconnection, recordStopOrder } from './activeRun.js';
import type { ActiveRun } from './activeRun.js';
import { OpenBatch } from './openBatch.js';

/** A run that is covered until 1000. */
const createCovered = (): ActiveRun => {
  const [task] = OpenBatch.create('vm', batchFixture, 0).tasks;
  assert.ok(task);
  const needs = batchFixture.needs.resources;
  const run = createRun({ task, taskName: 't', needs, expectedMs: 100 }, 0);
  recordCover(run, 1_000);
  return run;
};

// Guards against a crash that counts under a task whose run was stopped before.
test('a run is covered only until its stop is ordered, whatever its worker acknowledges later', () => {
  const run = createCovered();
  recordStopOrder(run, 400);
  recordCover(run, 1_400);
  recordDisconnection([run], 500);
  assert.is(run.coveredUntilMs, 400);
  assert.is(run.disconnectedAtMs, undefined);
});

// Guards against a connection that breaks after the lease, or a later one that breaks again, being held against a task.
test('a connection that breaks counts once, and only while the run is covered', () => {
  const run = createCovered();
  recordDisconnection([run], 1_001);
  assert.is(run.disconnectedAtMs, undefined);
  recordDisconnection([run], 300);
  recordDisconnection([run], 600);
  assert.is(run.disconnectedAtMs, 300);
});

test.run();
