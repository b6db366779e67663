import { Ok } from 'ts-results-es';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { FleetStore, RoutingReadResult } from '../ports/fleetStore.js';
import { FakeClock } from '../testing/fakeClock.js';
import { silentSupervisor } from '../testing/silentSupervisor.js';
import { silentLogger } from '../testing/silentLogger.js';
import type { Routing } from '../types/routing.js';
import { RoutingFollower } from './routingFollower.js';
import { RoutingStore } from './routingStore.js';

const routingOf = (version: number): Routing => ({
  version,
  routes: [],
  services: [],
  maxBodyBytes: 1_000,
});

const resultOf = (routing: Routing | undefined): RoutingReadResult => ({
  routing,
  nextOffset: 1,
  faults: [],
});

// Guards against a follower that asks without a pause, or stops following, where no record can be read.
test('where no record can be read, the newest configuration is, after a pause each time', async () => {
  const clock = FakeClock.create();
  let newest = routingOf(1);
  let reads = 0;
  const store: Pick<FleetStore, 'readRouting' | 'awaitRouting'> = {
    readRouting: async () => {
      reads += 1;
      return Ok(resultOf(newest));
    },
    awaitRouting: async () => Ok(undefined),
  };
  const routing = RoutingStore.create();
  const follower = RoutingFollower.create({
    supervisor: silentSupervisor(clock),
    clock,
    logger: silentLogger,
    store: store as FleetStore,
    routing,
  });
  await clock.advance(2_000);
  assert.ok(reads >= 3 && reads <= 10, `${reads} reads`);
  newest = routingOf(2);
  await clock.advance(2_000);
  assert.is(routing.version, 2);
  const closing = follower.close();
  await clock.advance(1_000);
  await closing;
});

test.run();
