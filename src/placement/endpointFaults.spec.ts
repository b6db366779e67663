import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { TaskOutcome } from '../types/jobs.js';
import { PlacementFixture } from '../testing/placementFixture.js';
import type { TaskFixture } from '../testing/placementFixture.js';

/** Starts a task every 100 ms and returns how each one ended. */
const runMany = async (
  fixture: PlacementFixture,
  operation: TaskFixture['operation'],
  count: number,
): Promise<TaskOutcome['kind'][]> => {
  const kinds: TaskOutcome['kind'][] = [];
  for (let i = 0; i < count; i += 1) {
    void fixture.run({ operation, jobId: `job${i}` }).then(({ kind }) => kinds.push(kind));
    await fixture.clock.advance(100);
  }
  await fixture.clock.advance(5_000);
  return kinds;
};

const countOf = (kinds: readonly TaskOutcome['kind'][], kind: TaskOutcome['kind']): number =>
  kinds.filter((k) => k === kind).length;

/** Makes one endpoint fail every task that it starts, by its own fault or by that of the task. */
const failAll = (fixture: PlacementFixture, index: number, fault: 'endpoint' | 'task'): void => {
  const { endpoints } = fixture;
  endpoints.behaviour = (endpoint, start) => {
    if (endpoint.endpointId !== fixture.endpointId(index)) {
      return endpoints.runFor(start, fixture.runTimeMs(endpoint, start.operation));
    }
    endpoints.recordStart(start);
    return Promise.resolve({ kind: 'failed', fault, detail: 'The worker failed.' });
  };
};

test('assigns no more tasks to an endpoint after three faults in a row', async () => {
  const fixture = PlacementFixture.create({ speeds: [1, 4, 1, 1] });
  failAll(fixture, 1, 'endpoint');
  const kinds = await runMany(fixture, 'fit', 40);
  assert.is(kinds.length, 40);
  assert.ok(countOf(kinds, 'failed') <= 3);
});

test('probes an endpoint in quarantine with repeatable tasks, then resumes it', async () => {
  const rules = { objective: 'messages', retryShare: 0.5 } as const;
  const fixture = PlacementFixture.create({ speeds: [1, 4, 1, 1], rules });
  const { behaviour } = fixture.endpoints;
  failAll(fixture, 1, 'endpoint');
  const during = await runMany(fixture, 'tag-lookup', 10);
  assert.is(countOf(during, 'done'), 10);
  fixture.endpoints.behaviour = behaviour;
  await fixture.clock.advance(40_000);
  const after = await runMany(fixture, 'tag-lookup', 20);
  assert.is(countOf(after, 'done'), 20);
  assert.is(fixture.endpoints.endpointIds.at(-1), fixture.endpointId(1));
});

test('does not count a failure that the task caused as a fault of the endpoint', async () => {
  const fixture = PlacementFixture.create({ speeds: [1, 1] });
  failAll(fixture, 0, 'task');
  failAll(fixture, 1, 'task');
  await runMany(fixture, 'fit', 10);
  assert.is(fixture.scheduler.freeSlots, 2);
});

test('never puts more than half of the endpoints into quarantine', async () => {
  const fixture = PlacementFixture.create({ speeds: [1, 1, 1, 1] });
  const { endpoints } = fixture;
  endpoints.behaviour = (_endpoint, start) => {
    endpoints.recordStart(start);
    return Promise.resolve({ kind: 'failed', fault: 'endpoint', detail: 'All fail.' });
  };
  for (let i = 0; i < 40; i += 1) {
    void fixture.run({ operation: 'fit' });
    await fixture.clock.flushCallbacks();
    assert.ok(fixture.scheduler.freeSlots >= 2);
  }
});

test('completes every task while the endpoints of one rack are unreachable', async () => {
  const fixture = PlacementFixture.create({ speeds: [1, 1, 4, 4, 4] });
  const { endpoints } = fixture;
  const unreachableIds = new Set([2, 3, 4].map((index) => fixture.endpointId(index)));
  endpoints.behaviour = (endpoint, start) =>
    unreachableIds.has(endpoint.endpointId)
      ? Promise.resolve({ kind: 'not-started', reason: 'unreachable' })
      : endpoints.runFor(start, 100);
  const kinds = await runMany(fixture, 'fit', 20);
  assert.is(countOf(kinds, 'done'), 20);
  const wastedMessages = endpoints.endpointIds.filter((endpointId) =>
    unreachableIds.has(endpointId),
  ).length;
  assert.ok(wastedMessages <= 20, `${wastedMessages} messages went to the unreachable rack`);
});

test('retries busy endpoints with growing pauses until one starts the task', async () => {
  const fixture = PlacementFixture.create({ speeds: [1, 1] });
  const { endpoints, clock } = fixture;
  endpoints.behaviour = (endpoint, start) =>
    clock.nowMs() < 3_000
      ? Promise.resolve({ kind: 'not-started', reason: 'busy' })
      : endpoints.runFor(start, fixture.runTimeMs(endpoint, 'fit'));
  const outcome = fixture.run({ operation: 'fit' });
  await clock.advance(10_000);
  assert.is((await outcome).kind, 'done');
  assert.is(endpoints.starts.length, 1);
  assert.ok(endpoints.endpointIds.length < 25);
});

test('assigns few tasks to a slow endpoint once its run times are known', async () => {
  const fixture = PlacementFixture.create({ speeds: [1, 1, 0.1, 1], slots: 2 });
  await runMany(fixture, 'fit', 40);
  const slowEndpointIds = fixture.endpoints.endpointIds.filter(
    (id) => id === fixture.endpointId(2),
  );
  assert.ok(slowEndpointIds.length <= 2);
});

test.run();
