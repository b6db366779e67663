import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { batchFixture } from '../testing/dispatchFixtures.js';
import { FakeClock } from '../testing/fakeClock.js';
import type { ActiveRun } from './activeRun.js';
import { ActiveTasks } from './activeTasks.js';
import { OpenBatch } from './openBatch.js';
import { ReportProcessor } from './reportProcessor.js';
import type { ReportContext } from './runEvidence.js';
import { RunTable } from './runTable.js';

// Guards against a start on cores that a run still uses while it is being stopped.
test('a stopped run keeps its capacity until its end is listed or its stop must have taken effect', () => {
  const [task] = OpenBatch.create('vm', batchFixture, 0).tasks;
  assert.ok(task);
  const run: ActiveRun = {
    task,
    taskName: 't',
    run: 1,
    needs: batchFixture.needs.resources,
    startSentAtMs: 0,
    orderedInMs: undefined,
    expectedMs: 100,
    phase: 'stopping',
    startedAtMs: 1,
    stopAcknowledgedAtMs: 100,
    lifetimeMs: undefined,
    coveredUntilMs: -Infinity,
    disconnectedAtMs: undefined,
  };
  const runs = RunTable.create(ActiveTasks.create(), () => undefined);
  const processor = ReportProcessor.create({
    clock: FakeClock.create(),
    runs,
    onStart: () => undefined,
    onOrphan: () => undefined,
  });
  const report = { workerClockMs: 0, running: [], ends: [] };
  const requestedAt = (requestedAtMs: number): ReportContext => ({
    requestedAtMs,
    lifetimeMs: undefined,
    earliestStartMs: -Infinity,
    latestStartMs: Infinity,
    departure: 'crash',
    coveredUntilMs: undefined,
  });
  runs.add(run);
  processor.apply(report, requestedAt(120));
  assert.ok(runs.has(run));
  processor.apply(report, requestedAt(160));
  assert.not.ok(runs.has(run));
  runs.add(run);
  const end = { endNumber: 1, taskName: 't', run: 1, how: 'stopped' as const };
  processor.apply({ ...report, ends: [end] }, requestedAt(120));
  assert.not.ok(runs.has(run));
});

test.run();
