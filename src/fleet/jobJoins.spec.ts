import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Dispatcher } from '../dispatch/dispatcher.js';
import type { HolderAnswer } from '../ports/fleetPeers.js';
import type { JobRequest, JobState } from '../ports/jobs.js';
import { routeFixture } from '../testing/dispatchFixtures.js';
import { FakeClock } from '../testing/fakeClock.js';
import { silentLogger } from '../testing/silentLogger.js';
import { HeldJobs } from './heldJobs.js';
import type { HolderEvidence } from './holderEvidence.js';
import { leaseTimesFor } from './requesterTimes.js';
import { JobJoins } from './jobJoins.js';
import type { JoinOutcome } from './joinOutcome.js';

const jobId = '00000000000000aa';
const needs = { resources: { cpuMillis: 1_000, memoryMb: 64, accelerators: 0 } };
const request: JobRequest = {
  ...{ jobId, spec: '', unsupported: [] },
  steps: [{ taskCount: 1, estimatedMs: 500, after: [], needs }],
};

/** A daemon that has heard that another one holds the job for 3 s more; `answer` is what that one shows when asked. */
const createFixture = (answer: (holder: string) => HolderEvidence) => {
  const clock = FakeClock.create();
  const held = HeldJobs.create(clock, 'own');
  const statement = { leftMsByJob: { [jobId]: 3_000 } };
  held.record({ sender: 'holder', source: 'own-domain', groups: [statement], ageMs: 0 });
  const state: { batches: { askedBy: string; latestRunsEndAtMs: number }[]; cancelled: boolean } = {
    ...{ batches: [], cancelled: false },
  };
  const asked: string[] = [];
  const joins = JobJoins.create({
    ...{ clock, held, logger: silentLogger, ownId: 'own' },
    leaseTimes: leaseTimesFor(1_000),
    dispatcher: { openBatchesOfJob: () => state.batches } as unknown as Dispatcher,
    jobs: { state: (): JobState => 'unknown', wasCancelled: () => state.cancelled },
    lengths: { predictMs: (_routeId, { declaredMs }) => declaredMs },
    questions: {
      ask: async ({ holder }) => {
        asked.push(holder);
        await clock.sleep(100);
        return answer(holder);
      },
    },
  });
  const caller = new AbortController();
  const result: { outcome?: JoinOutcome; atMs?: number } = {};
  const begin = (deadlineMs = 5_000): void => {
    const earliestSentAtMs = clock.nowMs();
    const { signal } = caller;
    void joins
      .wait({ route: routeFixture, request, deadlineMs, earliestSentAtMs, signal })
      .then((outcome) => Object.assign(result, { outcome, atMs: clock.nowMs() }));
  };
  return { clock, held, joins, state, asked, caller, result, begin };
};

const answered = (answer: Extract<HolderEvidence, { kind: 'answered' }>['answer']) => () =>
  ({ kind: 'answered', answer }) as const;

// Guards against a job that runs a second time beside the first, or again after it.
test('an attempt waits for the job where it runs, and has its end', async () => {
  let isRunning = true;
  const { clock, joins, begin, result } = createFixture(() =>
    isRunning
      ? answered({ kind: 'running', leftMs: 2_000 })()
      : answered({ kind: 'ended', end: { kind: 'completed' } })(),
  );
  assert.ok(joins.isHeldElsewhere(jobId));
  assert.not(joins.isHeldElsewhere('other'));
  begin();
  await clock.advance(1_000);
  assert.is(result.outcome, undefined);
  assert.ok(joins.isWaiting(jobId));
  isRunning = false;
  await clock.advance(300);
  assert.equal(result.outcome, { kind: 'ended', end: { kind: 'completed' } });
  assert.is(joins.size, 0);
});

// Guards against a job that starts while runs of its earlier attempt may go on, whatever the holder's caller has done.
test('an attempt starts the job when no run goes on at its holder, and at once if none has run', async () => {
  const first = createFixture(answered({ kind: 'none-runs' }));
  first.begin();
  await first.clock.advance(100);
  assert.equal(first.result.outcome, { kind: 'start', evidence: 'holder-has-none' });
  assert.not(first.joins.isHeldElsewhere(jobId));
  const untilMs = 1_000;
  const second: ReturnType<typeof createFixture> = createFixture(() => {
    const leftMs = untilMs - second.clock.nowMs();
    return answered(leftMs > 0 ? { kind: 'may-run', leftMs } : { kind: 'none-runs' })();
  });
  second.begin();
  await second.clock.advance(3_000);
  assert.is(second.result.outcome?.kind, 'start');
  assert.ok((second.result.atMs ?? 0) >= untilMs);
  assert.ok((second.result.atMs ?? Infinity) <= untilMs + 400);
});

const reason = 'runs of an earlier attempt may go on at another daemon';
const refusedFor = (retryAfterMs: number): JoinOutcome => ({
  ...{ kind: 'ended', end: { kind: 'refused', retryAfterMs, reason } },
});

// Guards against a job that starts beside its runs at a daemon that can't be asked, and against callers that get no answer.
test('without an answer an attempt starts after the stated time, or is refused while this still reaches its caller', async () => {
  for (const deadlineMs of [4_000, 3_400]) {
    const patient = createFixture(() => ({ kind: 'no-answer' }));
    patient.begin(deadlineMs);
    await patient.clock.advance(2_900);
    assert.is(patient.result.outcome, undefined);
    await patient.clock.advance(100);
    assert.equal(patient.result.outcome, { kind: 'start', evidence: 'time-is-over' });
  }
  const hasty = createFixture(() => ({ kind: 'no-answer' }));
  hasty.begin(2_000);
  await hasty.clock.advance(2_000);
  const atMs = 2_000 - 80;
  assert.is(hasty.result.atMs, atMs);
  assert.equal(hasty.result.outcome, refusedFor(3_000 - atMs));
});

// Guards against a caller that is refused though the end of its job comes in time, after one question that got no answer.
test('a holder is asked on while its answer could reach the caller', async () => {
  const fixture: ReturnType<typeof createFixture> = createFixture(() =>
    fixture.clock.nowMs() < 1_500
      ? { kind: 'no-answer' }
      : answered({ kind: 'ended', end: { kind: 'completed' } })(),
  );
  fixture.begin(2_000);
  await fixture.clock.advance(1_400);
  assert.is(fixture.result.outcome, undefined);
  await fixture.clock.advance(400);
  assert.equal(fixture.result.outcome, { kind: 'ended', end: { kind: 'completed' } });
});

// Guards against callers that wait in vain, and those that are told to come again only long after the runs have ended.
test('an attempt that nothing can serve is refused at once, with the time until the runs are over', async () => {
  const gone: ReturnType<typeof createFixture> = createFixture(() => ({
    ...{ kind: 'gone', latestWordAtMs: 0 },
  }));
  gone.begin(1_600);
  await gone.clock.advance(100);
  assert.equal(gone.result.outcome, refusedFor(1_217.5 - 100 + 0.5));
  const over = createFixture(answered({ kind: 'may-run', leftMs: 1_500 }));
  over.begin(1_600);
  await over.clock.advance(100);
  assert.equal(over.result.outcome, refusedFor(1_500));
});

// Guards against callers that stay away for as long as a holder has stated that could not be asked, but may be heard again soon.
test('a refused caller is asked to come again after 5 s at the latest', async () => {
  const { clock, held, begin, result } = createFixture(() => ({ kind: 'no-answer' }));
  const statement = { leftMsByJob: { [jobId]: 30_000 } };
  held.record({ sender: 'holder', source: 'own-domain', groups: [statement], ageMs: 0 });
  begin(2_000);
  await clock.advance(2_000);
  assert.equal(result.outcome, refusedFor(5_000));
});

// Guards against a job that starts beside a run at a worker of this daemon, since no heartbeat has told of it yet.
test('an open batch of another requester shows that it holds the job', async () => {
  const { clock, held, joins, state, begin, asked, result } = createFixture(
    answered({ kind: 'none-runs' }),
  );
  held.forget({ jobId, holder: 'holder' });
  state.batches = [{ askedBy: 'own', latestRunsEndAtMs: 9_000 }];
  assert.not(joins.isHeldElsewhere(jobId));
  state.batches = [{ askedBy: 'requester', latestRunsEndAtMs: 9_000 }];
  assert.ok(joins.isHeldElsewhere(jobId));
  begin();
  await clock.advance(300);
  assert.equal(asked, ['requester']);
  assert.is(result.outcome?.kind, 'start');
});

// Guards against a job that starts while one of two daemons that were sent it before runs it.
test('all daemons that hold a job are asked', async () => {
  const { clock, held, begin, asked, result } = createFixture(answered({ kind: 'none-runs' }));
  const statement = { leftMsByJob: { [jobId]: 3_000 } };
  held.record({ sender: 'second', source: 'other-domain', groups: [statement], ageMs: 0 });
  begin();
  await clock.advance(300);
  assert.equal(asked, ['holder', 'second']);
  assert.is(result.outcome?.kind, 'start');
});

// Guards against a job that starts beside its run at a daemon that has begun it after it was asked, while another one is waited for.
test('a daemon that states a job again after it had no run of it is asked again', async () => {
  const running: HolderAnswer = { kind: 'running', leftMs: 2_000 };
  const none: HolderAnswer = { kind: 'none-runs' };
  const answers: { first: HolderAnswer; second: HolderAnswer } = { first: none, second: running };
  const { clock, held, begin, asked, result } = createFixture((holder) =>
    answered(holder === 'holder' ? answers.first : answers.second)(),
  );
  const statement = { leftMsByJob: { [jobId]: 3_000 } };
  const state = (sender: string): void =>
    held.record({ sender, source: 'own-domain', groups: [statement], ageMs: 0 });
  state('second');
  begin();
  await clock.advance(500);
  assert.equal([...new Set(asked)], ['holder', 'second']);
  answers.first = running;
  state('holder');
  answers.second = none;
  await clock.advance(500);
  assert.is(result.outcome, undefined);
  answers.first = { kind: 'ended', end: { kind: 'completed' } };
  await clock.advance(500);
  assert.equal(result.outcome, { kind: 'ended', end: { kind: 'completed' } });
});

// Guards against two attempts that wait for the same job and start it at the same time, where the ends of both callers are lost.
test('of two attempts that wait the earlier one starts the job, and the later one waits for it', async () => {
  let otherAgeMs = (): number => 1_500;
  const later = createFixture(() => answered({ kind: 'waiting', ageMs: otherAgeMs() })());
  later.begin();
  await later.clock.advance(1_000);
  assert.is(later.result.outcome, undefined);
  assert.equal(
    later.joins.listWaiting().map(({ jobId: id, leftMs }) => [id, leftMs]),
    [[jobId, 4_000]],
  );
  assert.equal(later.joins.answerFor(jobId), { kind: 'waiting', ageMs: 1_000 });
  assert.is(later.joins.answerFor('other'), undefined);
  // Neither is certain to be the earlier one: the other one was sent before the answer by as much as this one.
  otherAgeMs = () => later.clock.nowMs() - 90;
  await later.clock.advance(600);
  assert.is(later.result.outcome, undefined);
  otherAgeMs = () => later.clock.nowMs() - 110;
  await later.clock.advance(400);
  assert.equal(later.result.outcome, { kind: 'start', evidence: 'holder-waits' });
});

// Guards against callers that wait for what has ended: their cancellation, their own leaving, and a daemon that stops.
test('a wait ends when the job is cancelled, its caller leaves, or the daemon gives its jobs up', async () => {
  const running = answered({ kind: 'running', leftMs: 2_000 });
  const cancelled = createFixture(running);
  cancelled.begin();
  await cancelled.clock.advance(500);
  cancelled.state.cancelled = true;
  await cancelled.clock.advance(200);
  assert.equal(cancelled.result.outcome, { kind: 'ended', end: { kind: 'cancelled' } });
  const left = createFixture(running);
  left.begin();
  await left.clock.advance(500);
  left.caller.abort();
  await left.clock.advance(1);
  assert.equal(left.result.outcome, { kind: 'ended', end: { kind: 'cancelled' } });
  const stopped = createFixture(running);
  stopped.begin();
  await stopped.clock.advance(500);
  stopped.joins.giveUpAll('the daemon stops');
  await stopped.clock.advance(1);
  const { outcome } = stopped.result;
  assert.is(outcome?.kind === 'ended' ? outcome.end.kind : outcome?.kind, 'refused');
  for (const { asked, clock, joins } of [cancelled, left, stopped]) {
    const count = asked.length;
    await clock.advance(1_000);
    assert.is(asked.length, count);
    assert.is(joins.size, 0);
  }
});

test.run();
