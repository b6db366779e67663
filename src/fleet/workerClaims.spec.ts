import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { FleetHeartbeat } from '../types/fleet.js';
import { workerFixture } from '../testing/dispatchFixtures.js';
import { divideWorkers, maxAwaitMs, readClaims } from './workerClaims.js';
import type { DivisionInput } from './workerClaims.js';

const records = Array.from({ length: 8 }, (_, index) => ({
  ...workerFixture,
  workerId: `i-${index}`,
  address: `127.0.0.1:${index}`,
}));
const ids = records.map(({ workerId }) => workerId);
const held = records.map(({ workerId, address }, index) => ({
  ...{ workerId, address, isFenced: false, isServing: true, runCount: 8 - index },
}));
const noClaims = { heldIds: new Set<string>(), awaitedIds: new Set<string>(), doAllAsk: true };

const divide = (changes: Partial<DivisionInput>) =>
  divideWorkers({
    ...{ listed: records, granted: [], held: [], claims: noClaims, awaitedSinceMs: new Map() },
    ...{
      releasingIds: new Set(),
      unclaimedCount: 0,
      mayKeep: true,
      isDiscoveringPeers: false,
      nowMs: 10_000,
    },
    ...changes,
  });

// Guards against workers that get no task from the loss of their shard until another daemon takes them over.
test('workers that are no longer granted are kept until they are asked for', () => {
  assert.equal(divide({ held }).kept, records);
  assert.equal(divide({ held }).releasingIds, []);
});

// Guards against a daemon that closes all its workers at a time, though the others could go on.
test('a quarter of the workers is released at a time, the least busy ones first', () => {
  const claims = { ...noClaims, awaitedIds: new Set(ids) };
  assert.equal(divide({ held, claims }).releasingIds, ['i-7', 'i-6']);
  const next = divide({ held, claims, releasingIds: new Set(['i-7', 'i-6']) });
  assert.equal(next.releasingIds, ['i-6', 'i-7']);
  assert.is(next.kept.length, 6);
  const untaken = divide({ held: held.slice(2), claims, unclaimedCount: 2 });
  assert.equal(untaken.releasingIds, []);
});

// Guards against workers that stay listed at a daemon whose orders they refuse, so that others wait for them.
test('a worker that another daemon has taken over is released unasked', () => {
  const fenced = held.map((worker, index) => ({ ...worker, isFenced: index === 3 }));
  assert.equal(divide({ held: fenced }).releasingIds, ['i-3']);
});

// Guards against runs that are stopped since an earlier version neither asks for workers nor waits for them.
test('nothing is kept for daemons that do not ask', () => {
  const division = divide({ held, mayKeep: false });
  assert.equal(division.kept, []);
  assert.is(division.releasingIds.length, 8);
});

// Guards against a take-over that stops the runs of a daemon which still dispatches, and against one that never comes.
test('a granted worker is waited for while another daemon has it, up to a limit', () => {
  const claims = { ...noClaims, heldIds: new Set(['i-0']) };
  const division = divide({ granted: records, claims });
  assert.equal(division.awaitedIds, ['i-0']);
  assert.is(division.served.length, 7);
  const awaitedSinceMs = new Map([['i-0', 10_000 - maxAwaitMs]]);
  assert.equal(divide({ granted: records, claims, awaitedSinceMs }).awaitedIds, []);
  assert.equal(divide({ granted: records, claims, held }).awaitedIds, []);
});

// Guards against a new process that takes workers over before it has heard who dispatches to them.
test('a daemon that has not heard its peers yet takes no worker over', () => {
  assert.equal(divide({ granted: records, isDiscoveringPeers: true }).served, []);
});

// Guards against a kept worker that is managed anew, at another address, with the token of a grant that lacks it.
test('a worker that has moved is not kept', () => {
  const moved = held.map((worker) => ({ ...worker, address: '127.0.0.2:1' }));
  assert.equal(divide({ held: moved }).kept, []);
});

// Guards against a worker that is kept until an earlier version asks for it, which it never does.
test('a daemon without others, or with one that omits what it awaits, does not rely on being asked', () => {
  const heartbeatOf = (awaited: Pick<FleetHeartbeat, 'awaitedWorkerIds'>): FleetHeartbeat => ({
    member: { incarnation: 'a', address: '127.0.0.1:1', failureDomainId: 'one', weight: 1 },
    ...{ routingVersion: 1, isLeaving: false, load: { workers: [] }, askedBatchIds: [] },
    ...awaited,
  });
  const asking = heartbeatOf({ awaitedWorkerIds: [] });
  assert.ok(readClaims([asking]).doAllAsk);
  assert.not.ok(readClaims([]).doAllAsk);
  assert.not.ok(readClaims([asking, heartbeatOf({})]).doAllAsk);
});

test.run();
