import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DoubtedStarts } from '../dispatch/doubtedStarts.js';
import type { Dispatcher } from '../dispatch/dispatcher.js';
import { FleetPeer } from '../fleet/fleetPeer.js';
import type { FleetPeers } from '../fleet/fleetPeers.js';
import { CallerContact } from '../fleet/callerContact.js';
import { MessageAges } from '../fleet/messageAges.js';
import type { BatchRequest, FleetLink } from '../ports/fleetPeers.js';
import type { PeerError } from '../ports/peers.js';
import { batchFixture as batch } from '../testing/dispatchFixtures.js';
import { FakeClock } from '../testing/fakeClock.js';
import type { BatchReply } from '../types/dispatch.js';
import { BatchRouter } from './batchRouter.js';
import { FleetView } from './fleetView.js';

const dispatcherId = 'dispatcher';

const done: BatchReply = {
  isPartial: false,
  ends: [{ kind: 'done', index: 0, lengthMs: 90 }],
  wasOffered: true,
  load: { workers: [] },
};

/** Batches of these tests go to another daemon. */
const unusedDispatcher = undefined as unknown as Dispatcher;

/** A router with one peer, whose link gives the replies one after the other, each after 200 ms. */
const createFixture = (
  replies: Result<BatchReply, PeerError>[],
  dispatcher: Dispatcher = unusedDispatcher,
) => {
  const clock = FakeClock.create();
  const requests: BatchRequest[] = [];
  const link: Pick<FleetLink, 'runBatch'> = {
    runBatch: async (request) => {
      requests.push(request);
      await clock.sleep(200);
      return replies.shift() ?? Err({ kind: 'broken', detail: 'no reply' });
    },
  };
  const known = { address: '127.0.0.1:1', failureDomainId: 'east' };
  const peer = FleetPeer.create(known, link as FleetLink, 0, 0);
  const peers: Pick<FleetPeers, 'find' | 'recordContact'> = {
    find: (incarnation) => (incarnation === dispatcherId ? peer : undefined),
    recordContact: () => undefined,
  };
  const router = BatchRouter.create({
    clock,
    ownId: 'own',
    ages: MessageAges.create(clock),
    contact: CallerContact.create(clock),
    dispatcher,
    peers: () => peers as FleetPeers,
    view: FleetView.create({
      clock,
      ownId: 'own',
      ownLoad: () => ({ workers: [] }),
      findWorker: () => undefined,
    }),
  });
  return { clock, requests, router };
};

const notSent: PeerError = { kind: 'not-sent', detail: 'refused' };
const broken: PeerError = { kind: 'broken', detail: 'reset' };

test('tasks that did not reach their dispatcher are returned, so that others can run them', async () => {
  const { clock, router } = createFixture([Err(notSent)]);
  const unreachable = await router.run('gone', batch);
  assert.is(unreachable.kind === 'ended' && unreachable.end.ends[0]?.kind, 'returned');
  const running = router.run(dispatcherId, batch);
  await clock.advance(300);
  const result = await running;
  assert.is(result.kind === 'ended' && result.end.ends[0]?.kind, 'returned');
  assert.not.ok(result.kind === 'ended' && result.end.wasOffered);
});

test('a batch that may have arrived is never returned, only sent again to the same process', async () => {
  const { clock, requests, router } = createFixture([Err(broken), Err(notSent), Ok(done)]);
  const running = router.run(dispatcherId, batch);
  await clock.advance(1_000);
  assert.equal(await running, { kind: 'ended', end: done });
  assert.equal(
    requests.map(({ dispatcherId: id }) => id),
    [dispatcherId, dispatcherId, dispatcherId],
  );
  assert.equal(
    requests.map(({ batch: sent }) => sent.giveUpInMs),
    [3_000, 2_800, 2_600],
  );
});

test('a batch that may have arrived and gets no answer is lost', async () => {
  const { clock, router } = createFixture([Err(broken), Err(notSent)]);
  const running = router.run(dispatcherId, batch);
  await clock.advance(2_000);
  assert.is((await running).kind, 'lost');
});

// Guards against tasks of a lost dispatcher that start again at once, and against tasks that it had returned and that wait.
test('the tasks that a lost dispatcher has not returned are in doubt', () => {
  const doubts = DoubtedStarts.create(FakeClock.create());
  const dispatcher: Pick<Dispatcher, 'doubts'> = { doubts };
  const { router } = createFixture([], dispatcher as Dispatcher);
  const [task] = batch.tasks;
  assert.ok(task);
  const tasks = [0, 1, 2].map((index) => ({ ...task, index }));
  router.recordLost({ ...batch, tasks }, new Set([1]), { kind: 'lost', reason: 'no answer' });
  assert.equal(
    tasks.map(({ index }) => doubts.isDoubted(`${batch.jobId}.0.0.${index}`)),
    [true, false, true],
  );
});

test.run();
