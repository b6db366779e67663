import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { LeaseCover } from './leaseCover.js';

const leaseMs = 1_000;

/** The earliest end of a lease of 1000 ms is this long after the order, for the fastest clock. */
const surelyCoveredMs = 970;

// Guards against a crash after the lease that counts, since the lease was taken to be longer than it was.
test('a lease covers its length from the order on, less the difference that clocks may have', () => {
  const cover = LeaseCover.create(leaseMs);
  const untilMs = cover.acknowledge({
    ...{ leaseEndWorkerMs: 51_000, workerClockMs: 50_000, requestedAtMs: 100 },
  });
  assert.is(untilMs, 100 + surelyCoveredMs);
  const farTooLong = cover.acknowledge({
    ...{ leaseEndWorkerMs: 59_000, workerClockMs: 50_200, requestedAtMs: 300 },
  });
  assert.is(farTooLong, 300 + surelyCoveredMs);
});

// Guards against the same where the reading of the clock was old when it came, so that the lease is shorter.
test('a lease that was computed from a late reading covers less', () => {
  const cover = LeaseCover.create(leaseMs);
  cover.acknowledge({ leaseEndWorkerMs: 51_000, workerClockMs: 50_000, requestedAtMs: 100 });
  const untilMs = cover.acknowledge({
    ...{ leaseEndWorkerMs: 51_100, workerClockMs: 50_400, requestedAtMs: 500 },
  });
  assert.is(untilMs, 500 + 700 * 0.97);
});

// Guards against crashes under a run that don't count, since the worker answered its renewal only after a wait.
test('the answer to a renewal that waits does not shorten what it covers by the wait', () => {
  const cover = LeaseCover.create(leaseMs);
  cover.acknowledge({ leaseEndWorkerMs: 51_000, workerClockMs: 50_000, requestedAtMs: 100 });
  const untilMs = cover.acknowledge({
    ...{ leaseEndWorkerMs: 51_010, workerClockMs: 50_310, requestedAtMs: 110 },
  });
  assert.ok(untilMs > 1_060 && untilMs <= 110 + surelyCoveredMs, String(untilMs));
});

// Guards against a lease that a clock from before a restart makes far too long.
test('a clock that has started anew replaces the earlier reading', () => {
  const cover = LeaseCover.create(leaseMs);
  cover.acknowledge({ leaseEndWorkerMs: 51_000, workerClockMs: 50_000, requestedAtMs: 100 });
  const untilMs = cover.acknowledge({
    ...{ leaseEndWorkerMs: 51_300, workerClockMs: 50, requestedAtMs: 400 },
  });
  assert.is(untilMs, 400 + surelyCoveredMs);
  const next = cover.acknowledge({
    ...{ leaseEndWorkerMs: 1_150, workerClockMs: 250, requestedAtMs: 600 },
  });
  assert.is(next, 600 + 900 * 0.97);
});

test.run();
