import { Err, Ok } from 'ts-results-es';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { FleetStore } from '../../ports/fleetStore.js';
import type { Metrics } from '../../ports/metrics.js';
import { FakeClock } from '../../testing/fakeClock.js';
import { MeteredStore } from './meteredStore.js';

const member = { incarnation: 'a1', address: 'a:1', failureDomainId: 'a', weight: 1 };

test('counts store calls by call and outcome, and records durations except for long polls', async () => {
  const counted: string[] = [];
  const timed: string[] = [];
  const metrics: Metrics = {
    count: (name, _value, tags = []) => counted.push([name, ...tags].join(' ')),
    durationMs: (name, _ms, tags = []) => timed.push([name, ...tags].join(' ')),
    gauge: () => undefined,
  };
  const store: Pick<FleetStore, 'join' | 'leave' | 'awaitRouting'> = {
    join: () => Promise.resolve(Ok({ generation: 1, shards: [] })),
    leave: () => Promise.resolve(Err({ kind: 'no-answer', detail: '' })),
    awaitRouting: () => Promise.resolve(Ok(undefined)),
  };
  const metered = MeteredStore.create({
    store: store as FleetStore,
    metrics,
    clock: FakeClock.create(),
  });
  await metered.join(member, 0);
  await metered.leave(member);
  await metered.awaitRouting(0, 10, new AbortController().signal);
  assert.equal(counted, [
    'store_calls call:join outcome:ok',
    'store_calls call:leave outcome:no-answer',
    'store_calls call:await_routing outcome:ok',
  ]);
  assert.equal(timed, ['store_call call:join', 'store_call call:leave']);
});

test.run();
