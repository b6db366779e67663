import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { RunOutcome, StartRecord } from '../standins/platform/standInRun.js';
import { findViolations } from './checks.js';
import { DisruptionLog } from './disruptionLog.js';
import type { Attempt } from './soakJob.js';

const jobId = '00000000000000aa';

const failedAttempt: Attempt = {
  job: {
    jobId,
    crashesWorkers: false,
    tasks: 1,
    runMs: 10,
    estimatedMs: 10,
    deadlineMs: 1_500,
    patience: { kind: 'past-deadline' },
  },
  number: 1,
  daemon: 0,
  sentAtMs: 0,
  endedAtMs: 100,
  end: { kind: 'answered', status: 200, state: 'failed' },
};

/** One run after the other of the job's task, with these outcomes. */
const runsWith = (...outcomes: readonly RunOutcome[]): StartRecord[] =>
  outcomes.map((outcome, index) => ({
    workerId: `i-${index}`,
    bornMs: 1,
    task: `${jobId}.0.0.0`,
    run: index + 1,
    token: 1,
    startedAtMs: index * 10,
    endedAtMs: index * 10 + 5,
    outcome,
  }));

const violationsOf = (starts: StartRecord[]): string[] =>
  findViolations({ starts: () => starts, disruptions: DisruptionLog.create(), crashes: [] }, [
    failedAttempt,
  ]);

// Guards against a judge that accepts `failed` after the silence or the crashes of workers.
test('a failed job needs a task that failed as often as allowed', () => {
  assert.equal(violationsOf(runsWith('failed', 'failed', 'failed')), []);
  for (const starts of [
    [],
    runsWith('lapsed', 'lapsed', 'lapsed'),
    runsWith('failed', 'failed', 'lapsed'),
    runsWith('crashed', 'crashed', 'crashed'),
  ]) {
    assert.match(violationsOf(starts).join(), /Failed, though no task failed so often/);
  }
});

test.run();
