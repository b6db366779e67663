import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { noMetrics } from '../adapters/system/noMetrics.js';
import type { Dispatcher } from '../dispatch/dispatcher.js';
import { workerFixture } from '../testing/dispatchFixtures.js';
import { FakeClock } from '../testing/fakeClock.js';
import { createGrantingStore, createMembership } from '../testing/membershipFixture.js';
import { silentLogger } from '../testing/silentLogger.js';
import { createDeferred } from '../utils/deferred.js';
import type { WorkerDirectory } from '../workers/workerDirectory.js';
import { ServedWorkers } from './servedWorkers.js';
import { readClaims } from './workerClaims.js';

/** Served workers whose release ends when the test says so. */
const createFixture = () => {
  const released = createDeferred<undefined>();
  const tokens: number[] = [];
  const dispatcher: Pick<Dispatcher, 'setWorkers' | 'recordEntries' | 'listHeldWorkers'> = {
    recordEntries: () => undefined,
    listHeldWorkers: () => [],
    setWorkers: async (records, token) => {
      tokens.push(token);
      await (records.length === 0 ? released.promise : undefined);
    },
  };
  const directory: Pick<WorkerDirectory, 'list'> = { list: () => [workerFixture] };
  const served = ServedWorkers.create({
    ...{ clock: FakeClock.create(), logger: silentLogger, metrics: noMetrics },
    claims: () => readClaims([]),
    hasUnheardPeers: () => false,
    onNews: () => undefined,
    failureDomainId: workerFixture.failureDomainId,
    shardCount: 1,
    directory: directory as WorkerDirectory,
    dispatcher: dispatcher as Dispatcher,
  });
  return { served, released, tokens };
};

// Guards against a planned stop during which a change of the members gives shards away under runs at work.
test('a daemon that leaves confirms a lost shard only when its workers are released', async () => {
  const clock = FakeClock.create();
  const { served, released } = createFixture();
  const granting = createGrantingStore([0]);
  const membership = createMembership(clock, {
    store: granting.store,
    onGrant: (grant) => served.applyGrant(grant),
  });
  await clock.advance(700);
  const leaving = served.release();
  granting.grant = { generation: 2, shards: [] };
  await clock.advance(1_300);
  assert.is(granting.confirmed.at(-1), 1);
  released.resolve(undefined);
  await leaving;
  await clock.advance(700);
  assert.is(granting.confirmed.at(-1), 2);
  await membership.close();
});

// Guards against a daemon that stands by, stops as planned, and gives up its shards under runs at work.
test('no grant and no change of the entries gives a leaving daemon a worker, or ends its wait', async () => {
  const { served, released, tokens } = createFixture();
  await served.applyGrant({ generation: 1, shards: [0] });
  const ended: string[] = [];
  const leaving = [
    served.release().then(() => ended.push('release')),
    served.applyGrant({ generation: 2, shards: [0] }).then(() => ended.push('grant')),
    served.update().then(() => ended.push('entries')),
  ];
  await new Promise((resolve) => setImmediate(resolve));
  assert.equal(ended, []);
  assert.equal(tokens, [1, 1]);
  released.resolve(undefined);
  await Promise.all(leaving);
  assert.is(ended.length, 3);
});

// Guards against a daemon that goes on dispatching, and confirms the loss of its shards, when no worker is left to it.
test('a daemon that loses its last shard releases its workers before it confirms that', async () => {
  const { served, released, tokens } = createFixture();
  await served.applyGrant({ generation: 1, shards: [0] });
  let hasReleased = false;
  const lost = served.applyGrant({ generation: 2, shards: [] }).then(() => (hasReleased = true));
  await new Promise((resolve) => setImmediate(resolve));
  assert.equal(tokens, [1, 2]);
  assert.not.ok(hasReleased);
  released.resolve(undefined);
  await lost;
});

test.run();
