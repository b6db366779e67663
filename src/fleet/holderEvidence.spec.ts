import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { HolderAnswer } from '../ports/fleetPeers.js';
import { judgeHolder } from './holderEvidence.js';
import type { HolderEvidence, HolderJudgement } from './holderEvidence.js';

const nowMs = 10_000;
const confirmationMs = 1_200;
/** The holder has stated that its runs have ended in 3 s. */
const claim = {
  ...{ untilMs: nowMs + 3_000, earliestSentAtMs: nowMs - 1_000 },
  askedAtMs: nowMs - 700,
};

const judge = (evidence: HolderEvidence): HolderJudgement =>
  judgeHolder(claim, evidence, nowMs, confirmationMs);
const judgeAnswer = (answer: HolderAnswer): HolderJudgement => judge({ kind: 'answered', answer });

// Guards against a job that starts beside its runs at a daemon which does not answer, such as behind a cut.
test('without an answer of the holder its runs may go on for as long as it has stated', () => {
  const stated: HolderJudgement = { kind: 'unheard', untilMs: claim.untilMs };
  assert.equal(judge({ kind: 'no-answer' }), stated);
  assert.equal(judgeAnswer({ kind: 'unknown' }), stated);
  assert.equal(judgeAnswer({ kind: 'replaced' }), { kind: 'may-run', untilMs: claim.untilMs });
  assert.is(judgeHolder(claim, { kind: 'no-answer' }, claim.untilMs, confirmationMs).kind, 'over');
});

// Guards against callers of a killed daemon that wait for the deadline of their first attempt.
test('the runs of a holder that is gone end a bounded time after its last word', () => {
  const gone = (latestWordAtMs: number): HolderJudgement => judge({ kind: 'gone', latestWordAtMs });
  assert.equal(gone(nowMs - 1_000), { kind: 'may-run', untilMs: nowMs + 200 });
  assert.equal(gone(nowMs - 1_200), { kind: 'over', evidence: 'time-is-over' });
  assert.equal(gone(nowMs + 5_000), { kind: 'may-run', untilMs: claim.untilMs });
});

// Guards against a job that runs twice though its holder has answered, and against waits for what is over.
test('what the holder answers goes before what it has stated', () => {
  const end = { kind: 'completed' } as const;
  assert.equal(judgeAnswer({ kind: 'ended', end }), { kind: 'ended', end });
  assert.equal(judgeAnswer({ kind: 'running', leftMs: 4_000 }), {
    ...{ kind: 'running', untilMs: nowMs + 4_000 },
  });
  assert.equal(judgeAnswer({ kind: 'may-run', leftMs: 500 }), {
    ...{ kind: 'may-run', untilMs: nowMs + 500 },
  });
  assert.equal(judgeAnswer({ kind: 'none-runs' }), { kind: 'over', evidence: 'holder-has-none' });
});

// Guards against two attempts that both take themselves for the earlier one, since the answers of both came late.
test('an attempt is the earlier one if it was so when it asked, however late the answer is', () => {
  const first: HolderJudgement = { kind: 'over', evidence: 'holder-waits' };
  assert.equal(judgeAnswer({ kind: 'waiting', ageMs: 290 }), first);
  assert.equal(judgeAnswer({ kind: 'waiting', ageMs: 300 }), { kind: 'waiting' });
  assert.equal(judgeAnswer({ kind: 'waiting', ageMs: 310 }), { kind: 'waiting' });
});

test.run();
