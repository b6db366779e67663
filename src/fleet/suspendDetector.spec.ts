import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Clock } from '../ports/clock.js';
import { FakeClock } from '../testing/fakeClock.js';
import { silentLogger } from '../testing/silentLogger.js';
import { SuspendDetector } from './suspendDetector.js';

interface Fixture {
  readonly fakeClock: FakeClock;
  readonly detector: SuspendDetector;
  readonly suspensions: number[];
  readonly shift: (wallMs: number, bootMs: number) => void;
}

const createFixture = (): Fixture => {
  const fakeClock = FakeClock.create();
  let wallShiftMs = 0;
  let bootShiftMs = 0;
  const clock: Clock = {
    nowMs: () => fakeClock.nowMs(),
    wallMs: () => fakeClock.nowMs() + wallShiftMs,
    bootMs: () => fakeClock.nowMs() + bootShiftMs,
    sleep: (durationMs, signal) => fakeClock.sleep(durationMs, signal),
  };
  const suspensions: number[] = [];
  const detector = SuspendDetector.create({
    clock,
    logger: silentLogger,
    onSuspended: (durationMs) => void suspensions.push(durationMs),
  });
  const shift = (wallMs: number, bootMs: number): void => {
    wallShiftMs += wallMs;
    bootShiftMs += bootMs;
  };
  return { fakeClock, detector, suspensions, shift };
};

test('a suspension is detected by the time since boot', async () => {
  const { fakeClock, detector, suspensions, shift } = createFixture();
  await fakeClock.advance(500);
  shift(3_000, 3_000);
  await fakeClock.advance(200);
  assert.equal(suspensions, [3_000]);
  await detector.close();
});

test('setting the wall clock is not reported as a suspension', async () => {
  const { fakeClock, detector, suspensions, shift } = createFixture();
  await fakeClock.advance(500);
  shift(5_000, 0);
  await fakeClock.advance(200);
  shift(-5_000, 0);
  await fakeClock.advance(200);
  assert.equal(suspensions, []);
  await detector.close();
});

test.run();
