import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { PlacementFixture } from '../testing/placementFixture.js';

/** Starts a task with a run time of one minute, and records when its lease is renewed. */
const startLong = (isHeld: () => boolean) => {
  const fixture = PlacementFixture.create({ speeds: [1] });
  const { endpoints } = fixture;
  endpoints.behaviour = (_endpoint, start) => endpoints.runFor(start, 60_000);
  const renewals: number[] = [];
  endpoints.renewal = () => {
    renewals.push(fixture.clock.nowMs());
    return Promise.resolve(isHeld());
  };
  const outcome = fixture.run({ operation: 'fit', deadlineMs: 90_000 });
  return { fixture, outcome, renewals };
};

test('needs no renewal where the first lease reaches the deadline', async () => {
  const { fixture, renewals } = startLong(() => true);
  void fixture.run({ operation: 'fit', deadlineMs: 10_000 });
  await fixture.clock.advance(9_000);
  assert.is(renewals.length, 0);
  assert.is(fixture.endpoints.starts[0]?.leaseMs, 30_000);
});

test('renews a lease at a third of its length while it ends before the deadline', async () => {
  const { fixture, outcome, renewals } = startLong(() => true);
  await fixture.clock.advance(70_000);
  assert.is((await outcome).kind, 'done');
  assert.equal(renewals.slice(0, 2), [10_000, 20_000]);
  assert.is(renewals.length, 5);
});

test('does not retry a task whose lease has lapsed', async () => {
  const { fixture, outcome } = startLong(() => false);
  await fixture.clock.advance(40_000);
  assert.is((await outcome).kind, 'outcome-unknown');
  await fixture.clock.advance(60_000);
  assert.is(fixture.endpoints.starts.length, 1);
});

test('accepts a complete answer that comes right after the process was paused past the lease', async () => {
  const { fixture, outcome } = startLong(() => false);
  await fixture.clock.advance(1_000);
  fixture.clock.jump(58_900);
  await fixture.clock.advance(200);
  assert.is((await outcome).kind, 'done');
});

test.run();
