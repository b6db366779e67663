import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Clock } from '../ports/clock.js';
import { FakeClock } from '../testing/fakeClock.js';
import { silentLogger } from '../testing/silentLogger.js';
import { silentSupervisor } from '../testing/silentSupervisor.js';
import { StandstillDetector } from './standstillDetector.js';
import type { Standstill } from './standstillDetector.js';

interface Fixture {
  readonly fakeClock: FakeClock;
  readonly detector: StandstillDetector;
  readonly standstills: Standstill[];
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
    nextTurn: () => fakeClock.nextTurn(),
  };
  const standstills: Standstill[] = [];
  const detector = StandstillDetector.create({
    clock,
    logger: silentLogger,
    supervisor: silentSupervisor(clock),
    onStandstill: (standstill) => void standstills.push(standstill),
  });
  const shift = (wallMs: number, bootMs: number): void => {
    wallShiftMs += wallMs;
    bootShiftMs += bootMs;
  };
  return { fakeClock, detector, standstills, shift };
};

test('a suspension is detected by the time since boot', async () => {
  const { fakeClock, detector, standstills, shift } = createFixture();
  await fakeClock.advance(500);
  shift(3_000, 3_000);
  await fakeClock.advance(200);
  assert.equal(standstills, [{ kind: 'suspended', durationMs: 3_000 }]);
  await detector.close();
});

test('setting the wall clock is not reported as a standstill', async () => {
  const { fakeClock, detector, standstills, shift } = createFixture();
  await fakeClock.advance(500);
  shift(5_000, 0);
  await fakeClock.advance(200);
  shift(-5_000, 0);
  await fakeClock.advance(200);
  assert.equal(standstills, []);
  await detector.close();
});

// Guards against a paused process that takes what it had before the pause for current.
test('a pause of the process is detected by the first check after it, and only once', async () => {
  const { fakeClock, detector, standstills } = createFixture();
  await fakeClock.advance(500);
  fakeClock.jump(4_000);
  detector.check();
  assert.equal(standstills, [{ kind: 'stalled', durationMs: 4_000 }]);
  detector.check();
  await fakeClock.advance(2_000);
  assert.is(standstills.length, 1);
  await detector.close();
});

// Guards against a process that is only slow and ends its work, although its leases hold.
test('a pause that is shorter than a lease is not reported', async () => {
  const { fakeClock, detector, standstills } = createFixture();
  await fakeClock.advance(500);
  fakeClock.jump(890);
  await fakeClock.advance(300);
  assert.equal(standstills, []);
  await detector.close();
});

// Guards against jobs whose callers left during the standstill, and against holding those of the time after.
test('jobs are held for as long after a standstill as it lasted, and for a few seconds at most', async () => {
  const { fakeClock, detector } = createFixture();
  await fakeClock.advance(500);
  assert.is(detector.settlingMs, 0);
  fakeClock.jump(2_000);
  detector.check();
  assert.ok(detector.settlingMs > 0);
  await fakeClock.advance(1_900);
  assert.ok(detector.settlingMs > 0);
  await fakeClock.advance(200);
  assert.is(detector.settlingMs, 0);
  fakeClock.jump(60_000);
  detector.check();
  await fakeClock.advance(5_100);
  assert.is(detector.settlingMs, 0);
  await detector.close();
});

test.run();
