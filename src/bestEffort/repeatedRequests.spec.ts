import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Dispatcher } from '../dispatch/dispatcher.js';
import { CallerContact } from '../fleet/callerContact.js';
import { FleetPeer } from '../fleet/fleetPeer.js';
import type { FleetPeers } from '../fleet/fleetPeers.js';
import { MessageAges } from '../fleet/messageAges.js';
import type { FleetLink } from '../ports/fleetPeers.js';
import type { PeerError } from '../ports/peers.js';
import { batchFixture } from '../testing/dispatchFixtures.js';
import { FakeClock } from '../testing/fakeClock.js';
import type { Batch, BatchReply, BatchTask } from '../types/dispatch.js';
import { BatchRouter } from './batchRouter.js';
import type { BatchResult } from './batchSender.js';
import { FleetView } from './fleetView.js';

const dispatcherId = 'dispatcher';
const task = (index: number): BatchTask => ({ index, nextRun: 1, failedRuns: 0, lostWorkers: 0 });
const batch: Batch = { ...batchFixture, tasks: [task(0), task(1)] };

/** The dispatcher returns task 0 at once; task 1 stays there. */
const partial: BatchReply = {
  isPartial: true,
  ends: [{ kind: 'returned', task: task(0), reason: 'no room' }],
  wasOffered: true,
  load: { workers: [] },
};

/** A router whose peer gives the replies one after the other, and then can't be reached. */
const createFixture = (replies: Result<BatchReply, PeerError>[]) => {
  const clock = FakeClock.create();
  const state = { isReachable: true };
  const link: Pick<FleetLink, 'runBatch'> = {
    runBatch: () =>
      Promise.resolve(replies.shift() ?? Err({ kind: 'not-sent', detail: 'connection refused' })),
  };
  const known = { address: '127.0.0.1:1', failureDomainId: 'east' };
  const peer = FleetPeer.create(known, link as FleetLink, 0, 0);
  const peers: Pick<FleetPeers, 'find' | 'recordContact'> = {
    find: () => (state.isReachable ? peer : undefined),
    recordContact: () => undefined,
  };
  const router = BatchRouter.create({
    clock,
    ownId: 'own',
    ages: MessageAges.create(clock),
    contact: CallerContact.create(clock),
    dispatcher: undefined as unknown as Dispatcher,
    peers: () => peers as FleetPeers,
    view: FleetView.create({
      clock,
      ownId: 'own',
      ownLoad: () => ({ workers: [] }),
      findWorker: () => undefined,
    }),
  });
  return { clock, router, state };
};

const returnedIndexes = (result: BatchResult): number[] =>
  result.kind === 'ended'
    ? result.end.ends.flatMap((end) => (end.kind === 'returned' ? [end.task.index] : []))
    : [];

// Guards against a task that starts at a second dispatcher while the first one, which has it, is cut off.
test('a task that its dispatcher kept in a partial answer is not returned when the second request does not get out', async () => {
  const { clock, router } = createFixture([Ok(partial)]);
  assert.is((await router.run(dispatcherId, batch)).kind, 'partial');
  const second = router.run(dispatcherId, batch);
  await clock.advance(1_000);
  assert.equal(returnedIndexes(await second), []);
});

// Guards against the same where the dispatcher is no longer taken for reachable at that time.
test('a task that its dispatcher kept in a partial answer is not returned when that one can not be found', async () => {
  const { clock, router, state } = createFixture([Ok(partial)]);
  assert.is((await router.run(dispatcherId, batch)).kind, 'partial');
  state.isReachable = false;
  const second = router.run(dispatcherId, batch);
  await clock.advance(1_000);
  assert.equal(returnedIndexes(await second), []);
});

// Guards against a job that is given up with a reason by which nothing of it can have run.
test('a batch is lost for what put it in doubt, not for repeats that were not sent', async () => {
  const { clock, router } = createFixture([
    Err({ kind: 'broken', detail: 'connection reset' }),
    Err({ kind: 'not-sent', detail: 'connection refused' }),
  ]);
  const result = router.run(dispatcherId, batch);
  await clock.advance(10_000);
  assert.equal(await result, { kind: 'lost', reason: 'connection reset' });
  const other = createFixture([Ok(partial)]);
  const first = await other.router.run(dispatcherId, batch);
  assert.is(first.kind, 'partial');
  const second = other.router.run(dispatcherId, batch);
  await other.clock.advance(10_000);
  assert.equal(await second, { kind: 'lost', reason: 'it answered in part only' });
});

test.run();
