import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { FleetLink, HolderAnswer } from '../ports/fleetPeers.js';
import type { PeerError } from '../ports/peers.js';
import { FakeClock } from '../testing/fakeClock.js';
import type { FleetHeartbeat } from '../types/fleet.js';
import { FleetPeer } from './fleetPeer.js';
import type { HolderEvidence } from './holderEvidence.js';
import { HolderQuestions } from './holderQuestions.js';

type Reply = Result<HolderAnswer, PeerError>;

const jobId = '00000000000000aa';
const replyMs = 20;
const refused: Reply = Err({ kind: 'not-sent', detail: 'refused', isNobodyThere: true });
const silent: Reply = Err({ kind: 'broken', detail: 'the time is over' });

const heartbeatOf = (incarnation: string): FleetHeartbeat => ({
  member: { incarnation, address: 'a:1', failureDomainId: 'a', weight: 1 },
  ...{ routingVersion: 0, isLeaving: false, load: { workers: [] }, askedBatchIds: [] },
});

/** A daemon that has heard the holder at 0, and gets these replies to its questions. */
const createFixture = () => {
  const clock = FakeClock.create();
  const state: { reply: Reply } = { reply: refused };
  const link: Pick<FleetLink, 'awaitJob'> = {
    awaitJob: async () => {
      const { reply } = state;
      await clock.sleep(replyMs);
      return reply;
    },
  };
  const known = { address: 'a:1', failureDomainId: 'a' };
  const peer = FleetPeer.create(known, link as FleetLink, 0, clock.nowMs());
  const hear = (incarnation: string): void => {
    peer.heartbeat = heartbeatOf(incarnation);
    peer.recordContact(clock.nowMs());
  };
  hear('holder');
  const questions = HolderQuestions.create({
    ...{ clock, ownId: 'own', confirmationMs: 1_200 },
    jobs: { answerFor: () => Promise.resolve({ kind: 'none-runs' }) },
    peers: () => ({
      find: () => undefined,
      findLastHeard: (incarnation) => (peer.incarnation === incarnation ? peer : undefined),
    }),
  });
  const ask = async (during: () => void = () => undefined): Promise<HolderEvidence> => {
    const asking = questions.ask({ jobId, holder: 'holder', via: undefined });
    await clock.advance(replyMs / 2);
    during();
    await clock.advance(replyMs / 2);
    return asking;
  };
  return { clock, peer, state, hear, questions, ask };
};

// Guards against a job that starts beside runs of a killed holder, which had started them behind a cut, after it was last heard.
test('a holder that is gone may have spoken until this was first found, and this time does not move', async () => {
  const { clock, ask } = createFixture();
  await clock.advance(5_000);
  const first: HolderEvidence = { kind: 'gone', latestWordAtMs: 5_000 + replyMs };
  assert.equal(await ask(), first);
  await clock.advance(1_000);
  assert.equal(await ask(), first);
});

// Guards against the same for a holder in whose place another process answers.
test('a holder that was replaced may have spoken until this was first found, too', async () => {
  const { clock, state, ask } = createFixture();
  state.reply = Ok({ kind: 'replaced' });
  await clock.advance(3_000);
  const first: HolderEvidence = { kind: 'gone', latestWordAtMs: 3_000 + replyMs };
  assert.equal(await ask(), first);
  await clock.advance(1_000);
  assert.equal(await ask(), first);
  state.reply = silent;
  assert.equal(await ask(), first);
});

// Guards against a holder that lives and counts as gone from a time before its last words, since a link had refused a connection.
test('a word of the holder, or its answer, takes back that it was found to be gone', async () => {
  const { clock, state, hear, ask } = createFixture();
  const answer: HolderAnswer = { kind: 'running', leftMs: 4_000 };
  for (const speak of [
    () => {
      hear('holder');
      return Promise.resolve();
    },
    async () => {
      state.reply = Ok(answer);
      assert.equal(await ask(), { kind: 'answered', answer });
    },
  ]) {
    state.reply = refused;
    assert.is((await ask()).kind, 'gone');
    await clock.advance(1_000);
    await speak();
    state.reply = silent;
    assert.equal(await ask(), { kind: 'no-answer' });
    state.reply = refused;
    assert.equal(await ask(), { kind: 'gone', latestWordAtMs: clock.nowMs() });
  }
});

// Guards against a new process that counts as gone, since the refusal of a connection from before it listened comes late.
test('a refusal shows nothing where the address was heard while it was on its way', async () => {
  for (const incarnation of ['holder', 'successor']) {
    const { peer, hear, ask } = createFixture();
    assert.equal(await ask(() => hear(incarnation)), { kind: 'no-answer' });
    assert.is(peer.end, undefined);
  }
});

// Guards against a daemon that asks for another one, and tells it less than it knows itself.
test('an asker is told how long runs of a holder that is gone may go on', async () => {
  const { clock, questions } = createFixture();
  const answer = async (): Promise<HolderAnswer> => {
    const answering = questions.answer({ jobId, holder: 'holder', hops: 1, waitMs: 0 });
    await clock.advance(replyMs);
    return answering;
  };
  assert.equal(await answer(), { kind: 'may-run', leftMs: 1_200 });
  await clock.advance(1_000);
  assert.equal(await answer(), { kind: 'may-run', leftMs: 180 });
  await clock.advance(200);
  assert.equal(await answer(), { kind: 'none-runs' });
});

test.run();
