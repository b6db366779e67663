import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Clock } from '../ports/clock.js';
import { FakeClock } from '../testing/fakeClock.js';
import { silentLogger } from '../testing/silentLogger.js';
import { SuspendWatch } from './suspendWatch.js';

interface Fixture {
  readonly fake: FakeClock;
  readonly watch: SuspendWatch;
  readonly suspensions: number[];
  readonly shift: (wallMs: number, bootMs: number) => void;
}

const createFixture = (): Fixture => {
  const fake = FakeClock.create();
  let wallShiftMs = 0;
  let bootShiftMs = 0;
  const clock: Clock = {
    nowMs: () => fake.nowMs(),
    wallMs: () => fake.nowMs() + wallShiftMs,
    bootMs: () => fake.nowMs() + bootShiftMs,
    sleep: (durationMs, signal) => fake.sleep(durationMs, signal),
  };
  const suspensions: number[] = [];
  const watch = SuspendWatch.create({
    clock,
    logger: silentLogger,
    onSuspended: (durationMs) => void suspensions.push(durationMs),
  });
  const shift = (wallMs: number, bootMs: number): void => {
    wallShiftMs += wallMs;
    bootShiftMs += bootMs;
  };
  return { fake, watch, suspensions, shift };
};

test('a suspension is noticed by the time since boot', async () => {
  const { fake, watch, suspensions, shift } = createFixture();
  await fake.advance(500);
  shift(3_000, 3_000);
  await fake.advance(200);
  assert.equal(suspensions, [3_000]);
  await watch.close();
});

test('a time of day that is set is no suspension', async () => {
  const { fake, watch, suspensions, shift } = createFixture();
  await fake.advance(500);
  shift(5_000, 0);
  await fake.advance(200);
  shift(-5_000, 0);
  await fake.advance(200);
  assert.equal(suspensions, []);
  await watch.close();
});

test.run();
