import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { PlacementFixture } from '../testing/placementFixture.js';
import { SeededRandom } from '../testing/seededRandom.js';
import type { PlacementPolicy } from './types.js';

/**
 * Runs a job of random size every 50 ms and returns the median ratio of its response time to the
 * ideal one, which is one task's run time of 50 ms on the fastest endpoint.
 */
const measureMedian = async (policy: PlacementPolicy): Promise<number> => {
  const fixture = PlacementFixture.create({ speeds: [1, 0.5, 2, 1.5, 0.8], slots: 8, policy });
  const { clock } = fixture;
  const random = SeededRandom.create(7);
  const ratios: number[] = [];
  for (let job = 0; job < 100; job += 1) {
    const startedAtMs = clock.nowMs();
    const count = 1 + Math.floor(random.next() ** 3 * 30);
    const tasks = Array.from({ length: count }, () =>
      fixture.run({ operation: 'fit', jobId: `${job}` }),
    );
    void Promise.all(tasks).then(() => ratios.push((clock.nowMs() - startedAtMs) / 50));
    await clock.advance(50);
  }
  await clock.advance(10_000);
  assert.is(ratios.length, 100);
  return ratios.sort((a, b) => a - b)[50] ?? NaN;
};

test('completes jobs sooner than either baseline policy under the same load', async () => {
  const expectedCompletion = await measureMedian({ kind: 'expected-completion' });
  assert.ok(expectedCompletion < (await measureMedian({ kind: 'random' })));
  assert.ok(expectedCompletion < (await measureMedian({ kind: 'least-connections' })));
});

test('holds a task for a busy endpoint that completes it earlier than the idle one', async () => {
  const fixture = PlacementFixture.create({ speeds: [0.1, 2] });
  const warmUp = [fixture.run({ operation: 'fit' }), fixture.run({ operation: 'fit' })];
  await fixture.clock.advance(2_000);
  await Promise.all(warmUp);
  const startedAtMs = fixture.clock.nowMs();
  const pair = [fixture.run({ operation: 'fit' }), fixture.run({ operation: 'fit' })];
  const endedAtMs = Promise.all(pair).then(() => fixture.clock.nowMs());
  await fixture.clock.advance(3_000);
  assert.is((await endedAtMs) - startedAtMs, 100);
});

test('limits how long a task is held for a faster endpoint that stays busy', async () => {
  const fixture = PlacementFixture.create({ speeds: [0.5, 2] });
  const warmUp = [fixture.run({ operation: 'fit' }), fixture.run({ operation: 'fit' })];
  await fixture.clock.advance(1_000);
  await Promise.all(warmUp);
  fixture.endpoints.behaviour = (endpoint, start) =>
    fixture.endpoints.runFor(start, endpoint.endpointId === fixture.endpointId(1) ? 9_000 : 200);
  const stuck = fixture.run({ operation: 'fit' });
  const held = fixture.run({ operation: 'fit' }).then(() => fixture.clock.nowMs());
  const startedAtMs = fixture.clock.nowMs();
  await fixture.clock.advance(10_000);
  assert.ok((await held) - startedAtMs <= 500);
  await stuck;
});

for (const factor of [10, 0.1]) {
  test(`finds the fastest endpoint if the declared run time is ${factor} times the true one`, async () => {
    const fixture = PlacementFixture.create({ speeds: [1, 2, 4] });
    const { endpoints, clock } = fixture;
    endpoints.behaviour = (endpoint, start) =>
      endpoints.runFor(start, fixture.runTimeMs(endpoint, 'fit') / factor);
    const fastest: string[] = [];
    for (let run = 0; run < 12; run += 1) {
      const answered = fixture.run({ operation: 'fit' });
      await clock.advance(20_000);
      await answered;
      fastest.push(endpoints.endpointIds.at(-1) ?? '');
    }
    assert.equal(new Set(fastest.slice(-6)), new Set([fixture.endpointId(2)]));
  });
}

test('does not start a task whose job ends right after its assignment to a slot', async () => {
  const fixture = PlacementFixture.create({ speeds: [1] });
  await fixture.clock.flushCallbacks();
  const outcome = fixture.run({ operation: 'fit' });
  fixture.scheduler.withdraw('job');
  await fixture.clock.advance(1_000);
  assert.is((await outcome).kind, 'not-run');
  assert.is(fixture.endpoints.starts.length, 0);
});

test.run();
