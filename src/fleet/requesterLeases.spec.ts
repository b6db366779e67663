import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { FakeClock } from '../testing/fakeClock.js';
import { MessageAges } from './messageAges.js';
import { RequesterLeases } from './requesterLeases.js';
import { maxSharingSilenceMs } from './requesterTimes.js';

const requester = 'requester';
/** The clock of the requester runs ahead of that of the dispatcher by this much. */
const clockOffsetMs = 70_000;

const createFixture = () => {
  const clock = FakeClock.create();
  const ages = MessageAges.create(clock);
  const leases = RequesterLeases.create(ages);
  const requesterNowMs = (): number => ages.timestampMs() + clockOffsetMs;
  const receiveHeartbeat = (sentAtMs: number): void => {
    ages.recordHeartbeat(requester, sentAtMs);
    leases.recordMessage(requester, sentAtMs);
  };
  receiveHeartbeat(requesterNowMs());
  return { clock, ages, leases, requesterNowMs, receiveHeartbeat };
};

test('a lease ends a bounded time after the last message', () => {
  const { clock, leases, requesterNowMs } = createFixture();
  clock.jump(500);
  leases.recordMessage(requester, requesterNowMs());
  clock.jump(maxSharingSilenceMs);
  assert.is(leases.leaseOf(requester), 'held');
  clock.jump(1);
  assert.is(leases.leaseOf(requester), 'silent');
  assert.is(leases.leaseOf('stranger'), 'silent');
});

// Guards against a message of a gone requester that was held up and counts as if it were new.
test('a message counts from its sending, and an older one changes nothing', () => {
  const { clock, leases, requesterNowMs, receiveHeartbeat } = createFixture();
  const heldUpSentAtMs = requesterNowMs() + 100;
  clock.jump(700);
  receiveHeartbeat(heldUpSentAtMs);
  assert.is(leases.silenceMs(requester), 600);
  const newestSentAtMs = requesterNowMs();
  receiveHeartbeat(newestSentAtMs);
  receiveHeartbeat(heldUpSentAtMs);
  assert.is(leases.silenceMs(requester), 0);
  clock.jump(maxSharingSilenceMs + 1);
  receiveHeartbeat(newestSentAtMs);
  assert.is(leases.leaseOf(requester), 'silent');
});

// Guards against a first heartbeat that was held up, whose age shows only by the next one.
test('the age of a message is judged again with what later messages show', () => {
  const clock = FakeClock.create();
  const ages = MessageAges.create(clock);
  const leases = RequesterLeases.create(ages);
  clock.jump(2_000);
  ages.recordHeartbeat(requester, 0);
  leases.recordMessage(requester, 0);
  assert.is(leases.silenceMs(requester), 0);
  clock.jump(10);
  // Sent 900 ms after the first one, and received 10 ms after it.
  ages.recordHeartbeat(requester, 900);
  assert.is(leases.silenceMs(requester), 900);
});

test('messages of versions without timestamps count from their receipt', () => {
  const clock = FakeClock.create();
  const leases = RequesterLeases.create(MessageAges.create(clock));
  leases.recordMessage(requester, undefined);
  clock.jump(maxSharingSilenceMs);
  assert.is(leases.leaseOf(requester), 'held');
  clock.jump(1);
  assert.is(leases.leaseOf(requester), 'silent');
});

test('no timestamp of a requester keeps its lease longer than a message that is just sent', () => {
  const { clock, leases, requesterNowMs } = createFixture();
  leases.recordMessage(requester, requesterNowMs() + 1e9);
  clock.jump(maxSharingSilenceMs + 1);
  assert.is(leases.leaseOf(requester), 'silent');
});

test('a suspension of the own VM counts as silence', () => {
  const { ages, leases } = createFixture();
  ages.recordSuspension(2_000);
  assert.is(leases.leaseOf(requester), 'silent');
});

test('nothing renews the lease of a process that was replaced', () => {
  const { leases, requesterNowMs, receiveHeartbeat } = createFixture();
  leases.end(requester);
  assert.is(leases.leaseOf(requester), 'replaced');
  receiveHeartbeat(requesterNowMs());
  assert.is(leases.leaseOf(requester), 'replaced');
});

test('only a bounded number of processes is remembered', () => {
  const { leases } = createFixture();
  for (let index = 0; index < 5_000; index += 1) {
    leases.recordMessage(`process-${index}`, undefined);
  }
  assert.ok(leases.size <= 1_024);
});

test.run();
