import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { batchFixture } from '../testing/dispatchFixtures.js';
import { createRun } from './activeRun.js';
import type { ActiveRun } from './activeRun.js';
import type { RunDeparture } from './lifetimeEnd.js';
import { OpenBatch } from './openBatch.js';
import {
  consequenceOf,
  evidenceOfStartReply,
  evidenceOfUnlistedRun,
  maxStopMs,
  suspicionOf,
} from './runEvidence.js';
import type { ReportContext, RunEvidence } from './runEvidence.js';

const runWith = (changes: Partial<ActiveRun>): ActiveRun => {
  const [task] = OpenBatch.create('vm', batchFixture, 0).tasks;
  assert.ok(task);
  const needs = batchFixture.needs.resources;
  return { ...createRun({ task, taskName: 't', needs, expectedMs: 100 }, 0), ...changes };
};

/** A report of an unknown lifetime, requested at 1000. */
const reportContext: ReportContext = {
  requestedAtMs: 1_000,
  lifetimeMs: undefined,
  earliestStartMs: -Infinity,
  latestStartMs: Infinity,
  departure: 'crash',
  coveredUntilMs: undefined,
};

const kindOfUnlisted = (
  changes: Partial<ActiveRun>,
  requestedAtMs: number,
  lifetimeMs?: number,
): string =>
  evidenceOfUnlistedRun(runWith(changes), { ...reportContext, requestedAtMs, lifetimeMs }).kind;

// Guards against a second start of a task whose run is only missing from a report.
test('a run that a report does not list is unknown unless the report is recent enough', () => {
  assert.is(kindOfUnlisted({}, 1_000), 'unknown');
  const accepted = { phase: 'running', startedAtMs: 10 } as const;
  assert.is(kindOfUnlisted(accepted, 10), 'unknown');
  assert.is(kindOfUnlisted(accepted, 11), 'absent');
  const stopped = { phase: 'stopping', startedAtMs: 10, stopAcknowledgedAtMs: 20 } as const;
  assert.is(kindOfUnlisted(stopped, 20 + maxStopMs - 1), 'unknown');
  assert.is(kindOfUnlisted(stopped, 20 + maxStopMs), 'stopped');
  assert.is(kindOfUnlisted({ phase: 'stopping', startedAtMs: 10 }, 1_000), 'unknown');
});

// Guards against crashes that are counted under tasks which began after them.
test('a run goes with a lifetime only if it is proved to have begun in it', () => {
  const accepted = { phase: 'running', startedAtMs: 10 } as const;
  assert.is(kindOfUnlisted({ ...accepted, lifetimeMs: 5 }, 1, 6), 'gone-with-lifetime');
  assert.is(kindOfUnlisted({ ...accepted, lifetimeMs: 6 }, 1, 6), 'unknown');
  assert.is(kindOfUnlisted(accepted, 1, 6), 'unknown');
  assert.is(kindOfUnlisted(accepted, 11, 6), 'absent');
});

// Guards against crashes that are not counted, since nothing but the clock tells in which lifetime a run began.
test('a run that was accepted before the reporting lifetime can have begun has gone with an earlier one', () => {
  const accepted = runWith({ phase: 'running', startedAtMs: 10 });
  const kindAt = (earliestStartMs: number): string =>
    evidenceOfUnlistedRun(accepted, { ...reportContext, lifetimeMs: 6, earliestStartMs }).kind;
  assert.is(kindAt(10), 'absent');
  assert.is(kindAt(11), 'gone-with-lifetime');
});

// Guards against a job that is given up since its worker crashed behind a cut, after the end of the lease or of the run.
test('a run that has gone with its lifetime has likely crashed it only if lease and expected run time covered that', () => {
  const run = runWith({
    ...{ phase: 'running', startedAtMs: 10, lifetimeMs: 5, coveredUntilMs: 970 },
    expectedMs: 1_000,
  });
  const departureBefore = (latestStartMs: number, changes: Partial<ActiveRun> = {}) => {
    const context = { ...reportContext, lifetimeMs: 6, latestStartMs };
    return evidenceOfUnlistedRun({ ...run, ...changes }, context);
  };
  const goneWith = (departure: RunDeparture): RunEvidence => ({
    kind: 'gone-with-lifetime',
    departure,
  });
  assert.equal(departureBefore(960), goneWith('likely-crash'));
  assert.equal(departureBefore(960, { expectedMs: 960 }), goneWith('unclear'));
  assert.equal(departureBefore(980), goneWith('unclear'));
  assert.equal(departureBefore(960, { coveredUntilMs: -Infinity }), goneWith('unclear'));
  assert.equal(departureBefore(980, { disconnectedAtMs: 900 }), goneWith('likely-crash'));
});

// Guards against a second start beside one that a later lifetime carries out, and against crashes that do not count.
test('a stop in a later lifetime ends a run whose start was never answered, as gone with the earlier one', () => {
  const doubted = runWith({
    ...{ orderedInMs: 5, startSentAtMs: 100, stopAcknowledgedAtMs: 900 },
    phase: 'in-doubt',
  });
  const evidenceIn = (lifetimeMs: number, latestStartMs: number): RunEvidence =>
    evidenceOfUnlistedRun(doubted, { ...reportContext, lifetimeMs, latestStartMs });
  assert.equal(evidenceIn(6, 800), { kind: 'gone-with-lifetime', departure: 'unclear' });
  assert.equal(evidenceIn(5, 800), { kind: 'stopped' });
  assert.equal(evidenceIn(6, 90), { kind: 'stopped' });
  assert.is(kindOfUnlisted({ phase: 'in-doubt', orderedInMs: 5 }, 1_000, 6), 'unknown');
});

// Guards against a second start after a start whose answer was lost.
test('a start without an answer is unknown', () => {
  assert.is(evidenceOfStartReply({ kind: 'no-answer', detail: '' }).kind, 'unknown');
  assert.is(evidenceOfStartReply({ kind: 'unhealthy', status: 503 }).kind, 'never-accepted');
  assert.is(evidenceOfStartReply({ kind: 'started', workerClockMs: 1 }).kind, 'accepted');
});

// Guards against starts without proof, and against tasks that are given up without a crash.
test('only proofs allow another start, and only the end of a lifetime is held against a task', () => {
  const judged: readonly [RunEvidence, string, string][] = [
    [{ kind: 'ended', end: { how: 'done', runTimeMs: 1 } }, 'done', 'none'],
    [{ kind: 'ended', end: { how: 'failed' } }, 'may-start', 'none'],
    [{ kind: 'stopped' }, 'may-start', 'none'],
    [{ kind: 'lapsed', cause: 'silent' }, 'may-start', 'suspected'],
    [{ kind: 'lapsed', cause: 'draining' }, 'may-start', 'none'],
    [{ kind: 'lapsed', cause: 'fenced' }, 'may-start', 'none'],
    [{ kind: 'gone-with-lifetime', departure: 'expected' }, 'may-start', 'none'],
    [{ kind: 'gone-with-lifetime', departure: 'likely-crash' }, 'may-start', 'likely'],
    [{ kind: 'gone-with-lifetime', departure: 'unclear' }, 'may-start', 'unclear'],
    [{ kind: 'never-accepted', refusal: { why: 'used-number' } }, 'may-start', 'none'],
    [{ kind: 'never-accepted', refusal: { why: 'invalid', reason: '' } }, 'rejected', 'none'],
    [{ kind: 'absent' }, 'may-start', 'none'],
    [{ kind: 'start-in-doubt' }, 'must-not-start', 'none'],
    [{ kind: 'unknown', reason: '' }, 'must-not-start', 'none'],
  ];
  for (const [evidence, consequence, suspicion] of judged) {
    assert.is(consequenceOf(evidence).kind, consequence);
    assert.is(suspicionOf(evidence), suspicion);
  }
});

test.run();
