import { Ok } from 'ts-results-es';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { FleetStore } from '../ports/fleetStore.js';
import { FakeClock } from '../testing/fakeClock.js';
import { silentSupervisor } from '../testing/silentSupervisor.js';
import { silentLogger } from '../testing/silentLogger.js';
import { createDeferred } from '../utils/deferred.js';
import { ShardMembership, shardOf } from './shardMembership.js';
import type { ShardGrant } from '../types/fleet.js';

const member = { incarnation: 'a', address: '127.0.0.1:1', failureDomainId: 'east', weight: 1 };

test('lost shards are confirmed to the store only when their workers are released', async () => {
  const clock = FakeClock.create();
  const confirmed: number[] = [];
  let granted: ShardGrant = { generation: 1, shards: [0, 1] };
  const released = createDeferred<undefined>();
  const store = {
    join: async (_member: unknown, generation: number) => {
      confirmed.push(generation);
      return Ok(granted);
    },
  } as unknown as FleetStore;
  const membership = ShardMembership.create({
    supervisor: silentSupervisor(clock),
    clock,
    logger: silentLogger,
    store,
    member,
    onGrant: ({ generation }) => (generation === 2 ? released.promise : Promise.resolve()),
    onStoreReachable: () => undefined,
    isNeeded: () => true,
    checkStandstill: () => undefined,
  });
  await clock.advance(700);
  granted = { generation: 2, shards: [0] };
  await clock.advance(1_500);
  assert.is(confirmed.at(-1), 1);
  released.resolve(undefined);
  await clock.advance(700);
  assert.is(confirmed.at(-1), 2);
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
  const membership = ShardMembership.create({
    supervisor: silentSupervisor(clock),
    clock,
    logger: silentLogger,
    store,
    member,
    onGrant: async ({ shards }) => events.push(`${shards.length} shards`),
    onStoreReachable: () => undefined,
    isNeeded: () => isNeeded,
    checkStandstill: () => undefined,
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
  const membership: ShardMembership = ShardMembership.create({
    supervisor: silentSupervisor(clock),
    clock,
    logger: silentLogger,
    store,
    member,
    onGrant: async ({ generation }) => granted.push(generation),
    onStoreReachable: () => undefined,
    isNeeded: () => true,
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
