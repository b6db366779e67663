import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { FakeClock } from '../testing/fakeClock.js';
import { LeaseClock } from './leaseClock.js';

const leaseMs = 1_000;
const times = { leaseMs, longestLeaseMs: leaseMs };
/** Speed of the slowest clock that a worker may have. */
const slowest = 0.98;

/** Advances the clock until the leases count as ended, and returns the time. */
const findLapse = async (clock: FakeClock, leases: LeaseClock): Promise<number> => {
  while (!leases.haveAllLeasesEnded()) {
    await clock.advance(1);
  }
  return clock.nowMs();
};

// Guards against a second run while the first still holds a lease that was issued by an old clock reading.
test('a lease that was issued by an old reading has ended even by the slowest clock', async () => {
  const clock = FakeClock.create();
  const leases = LeaseClock.create(clock, times);
  leases.recordReading(50_000);
  await clock.advance(5_000);
  const leaseEndWorkerMs = leases.issueLeaseEnd(Infinity);
  const endedAtMs = (leaseEndWorkerMs - 50_000) / slowest;
  assert.ok((await findLapse(clock, leases)) >= endedAtMs);
});

// Guards against a bound that a later reading shortens while an earlier lease goes on.
test('a new reading does not shorten the time by which earlier leases have ended', async () => {
  const clock = FakeClock.create();
  const leases = LeaseClock.create(clock, times);
  leases.recordReading(50_000);
  await clock.advance(5_000);
  const endedAtMs = (leases.issueLeaseEnd(Infinity) - 50_000) / slowest;
  leases.recordReading(50_000 + 5_000 * slowest);
  leases.issueLeaseEnd(Infinity);
  assert.ok((await findLapse(clock, leases)) >= endedAtMs);
});

// Guards against a second run while the first holds a lease of a worker that restarted unnoticed.
test('a lease that a new lifetime has shortened to the longest one begins with its arrival there', async () => {
  const clock = FakeClock.create();
  const leases = LeaseClock.create(clock, times);
  leases.recordReading(50_000);
  await clock.advance(100);
  leases.issueLeaseEnd(Infinity);
  await clock.advance(140);
  leases.recordReading(300);
  assert.ok((await findLapse(clock, leases)) >= 240 + leaseMs / slowest);
});

// Guards against a loop that waits for the end of the leases again and again without any time passing.
test('all leases have ended when the time until their end is over', async () => {
  const clock = FakeClock.create();
  const leases = LeaseClock.create(clock, times);
  leases.issueLeaseEnd(Infinity);
  await clock.advance(leases.msUntilAllLeasesEnded());
  assert.ok(leases.haveAllLeasesEnded());
});

// Guards against a run that goes on after its permission is over, on a worker with a slow clock.
test('a lease ends by its limit even by the slowest clock, whatever the age of the reading', async () => {
  for (const ageMs of [0, 300, 5_000]) {
    for (const limitInMs of [-100, 50, 400, 900, 1_240]) {
      const clock = FakeClock.create();
      const leases = LeaseClock.create(clock, times);
      leases.recordReading(50_000);
      await clock.advance(ageMs);
      const limitMs = clock.nowMs() + limitInMs;
      const lengthMs = leases.issueLeaseEnd(limitMs) - 50_000;
      const isOver = lengthMs <= ageMs;
      assert.ok(isOver || lengthMs / slowest <= limitMs, `${lengthMs} ms after ${ageMs} ms`);
      assert.is(leases.canIssueUntil(limitMs), limitInMs > 1_200);
    }
  }
});

test.run();
