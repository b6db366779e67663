import { Ok } from 'ts-results-es';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { FleetStore } from '../ports/fleetStore.js';
import { FakeClock } from '../testing/fakeClock.js';
import { createGrantingStore, createMembership } from '../testing/membershipFixture.js';
import { createDeferred } from '../utils/deferred.js';
import { shardOf } from './shardMembership.js';
import type { ShardMembership } from './shardMembership.js';

test('lost shards are confirmed to the store only when their workers are released', async () => {
  const clock = FakeClock.create();
  const granting = createGrantingStore([0, 1]);
  const released = createDeferred<undefined>();
  const membership = createMembership(clock, {
    store: granting.store,
    onGrant: ({ generation }) => (generation === 2 ? released.promise : Promise.resolve()),
  });
  await clock.advance(700);
  granting.grant = { generation: 2, shards: [0] };
  await clock.advance(1_500);
  assert.is(granting.confirmed.at(-1), 1);
  released.resolve(undefined);
  await clock.advance(700);
  assert.is(granting.confirmed.at(-1), 2);
  await membership.close();
});

test('a daemon releases its workers and leaves while it is not needed, then rejoins', async () => {
  const clock = FakeClock.create();
  const events: string[] = [];
  let isNeeded = true;
  const store = {
    join: async () => {
      events.push('join');
      return Ok({ generation: 1, shards: [0] });
    },
    leave: async () => {
      events.push('leave');
      return Ok(undefined);
    },
  } as unknown as FleetStore;
  const membership = createMembership(clock, {
    store,
    onGrant: async ({ shards }) => events.push(`${shards.length} shards`),
    isNeeded: () => isNeeded,
  });
  await clock.advance(100);
  assert.ok(events.includes('1 shards'));
  isNeeded = false;
  events.length = 0;
  await clock.advance(3_000);
  assert.equal(events, ['0 shards', 'leave']);
  isNeeded = true;
  await clock.advance(700);
  assert.ok(events.includes('join'));
  await membership.close();
});

// Guards against a process that wakes, reads an answer that waited, and orders workers which others got meanwhile.
test('a grant that was requested before a standstill is not acted on, but asked for again at once', async () => {
  const clock = FakeClock.create();
  const granted: number[] = [];
  let generation = 1;
  let isFrozen = false;
  const store = {
    join: async () => {
      const answer = Ok({ generation, shards: [0] });
      if (generation === 2) {
        generation = 3;
        isFrozen = true;
      }
      return answer;
    },
  } as unknown as FleetStore;
  const membership: ShardMembership = createMembership(clock, {
    store,
    onGrant: async ({ generation }) => granted.push(generation),
    checkStandstill: () => {
      if (isFrozen) {
        isFrozen = false;
        membership.refresh();
      }
    },
  });
  await clock.advance(500);
  assert.equal(granted, [1]);
  generation = 2;
  await clock.advance(200);
  assert.equal(granted, [1, 3]);
  await membership.close();
});

test('workers are spread over all shards', () => {
  const shards = new Set(Array.from({ length: 400 }, (_, i) => shardOf(`i-${i}`, 32)));
  assert.is(shards.size, 32);
});

test.run();
