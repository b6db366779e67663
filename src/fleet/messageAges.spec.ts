import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { BatchRouter } from '../bestEffort/batchRouter.js';
import type { RunningJobs } from '../bestEffort/runningJobs.js';
import { FleetView } from '../bestEffort/fleetView.js';
import { RunTimePredictor } from '../bestEffort/runTimePredictor.js';
import type { Dispatcher } from '../dispatch/dispatcher.js';
import { RoutingStore } from '../routing/routingStore.js';
import { FakeClock } from '../testing/fakeClock.js';
import { silentLogger } from '../testing/silentLogger.js';
import type { FleetHeartbeat, Member } from '../types/fleet.js';
import { WorkerSpeedCache } from '../workers/workerSpeedCache.js';
import { CallerContact } from './callerContact.js';
import { FleetHeartbeatExchange } from './fleetHeartbeatExchange.js';
import type { FleetPeers } from './fleetPeers.js';
import { HeldJobs } from './heldJobs.js';
import { MessageAges } from './messageAges.js';
import { RequesterLeases } from './requesterLeases.js';

const sender: Member = {
  incarnation: 'sender',
  address: '127.0.0.1:2',
  failureDomainId: 'east',
  weight: 1,
};
const own: Member = { ...sender, incarnation: 'own', address: '127.0.0.1:1' };
/** The clock of the sender runs ahead of that of the receiver by this much. */
const clockOffsetMs = 50_000;

const createFixture = () => {
  const clock = FakeClock.create();
  const ages = MessageAges.create(clock);
  const keptAgesMs: number[] = [];
  const confirmedAgosMs: number[] = [];
  const dispatcher: Pick<Dispatcher, 'confirm' | 'withdrawAll' | 'withdrawUnrequested'> = {
    confirm: (_askedBy, _isRequested, agoMs) => void confirmedAgosMs.push(agoMs),
    withdrawAll: () => undefined,
    withdrawUnrequested: (_askedBy, _isRequested, minAgeMs) => void keptAgesMs.push(minAgeMs),
  };
  const router: Pick<BatchRouter, 'failBatchesAt'> = { failBatchesAt: () => undefined };
  const jobs: Pick<RunningJobs, 'listCancelled' | 'listHeld'> = {
    listCancelled: () => [],
    listHeld: () => [],
  };
  const exchange = FleetHeartbeatExchange.create({
    clock,
    contact: CallerContact.create(clock),
    ages,
    leases: RequesterLeases.create(ages),
    own,
    logger: silentLogger,
    routing: RoutingStore.create(),
    lengths: RunTimePredictor.create(),
    speeds: WorkerSpeedCache.create(),
    view: FleetView.create({
      clock,
      ownId: own.incarnation,
      ownLoad: () => ({ workers: [] }),
      findWorker: () => undefined,
    }),
    router: router as BatchRouter,
    dispatcher: dispatcher as Dispatcher,
    jobs: jobs as RunningJobs,
    held: HeldJobs.create(clock, own.incarnation),
    confirmationMs: 1_200,
    peers: () => undefined as unknown as FleetPeers,
  });
  const receive = (sentAtMs: number): void => {
    const heartbeat: FleetHeartbeat = {
      member: sender,
      sentAtMs,
      routingVersion: -1,
      isLeaving: false,
      load: { workers: [] },
      askedBatchIds: [],
    };
    exchange.handleHeartbeat(heartbeat);
  };
  return {
    clock,
    ages,
    exchange,
    keptAgesMs,
    confirmedAgosMs,
    receive,
    senderNowMs: () => clock.nowMs() + clockOffsetMs,
  };
};

test('a paused daemon knows the age of what waited for it, also if it first takes its peer for lost', () => {
  const { clock, ages, exchange, receive, senderNowMs } = createFixture();
  receive(senderNowMs() - 2);
  const sentAtMs = senderNowMs();
  clock.jump(8_000);
  exchange.handleLostDaemon(sender.incarnation, 'silent');
  assert.ok(ages.ageMs(sender.incarnation, sentAtMs) >= 7_990);
  receive(sentAtMs);
  assert.ok(ages.ageMs(sender.incarnation, sentAtMs) >= 7_990);
});

test('a suspension of the own VM, which its clock omits, counts as age', () => {
  const { clock, ages, receive, senderNowMs } = createFixture();
  receive(senderNowMs() - 2);
  const sentAtMs = senderNowMs();
  clock.jump(10);
  ages.recordSuspension(6_000);
  assert.ok(ages.ageMs(sender.incarnation, sentAtMs) >= 6_000);
  receive(sentAtMs + 6_010);
  assert.ok(ages.ageMs(sender.incarnation, sentAtMs + 6_010) < 50);
});

test('messages of a daemon that was suspended do not look old once it has noticed', () => {
  const { clock, ages, receive, senderNowMs } = createFixture();
  const senderAges = MessageAges.create(clock);
  receive(senderNowMs() - 2);
  clock.jump(100);
  // The clock of the sender has stood still for 6 s.
  senderAges.recordSuspension(6_000);
  const sentAtMs = senderAges.timestampMs() + clockOffsetMs - 6_000;
  assert.ok(ages.ageMs(sender.incarnation, sentAtMs) < 50);
});

// Guards against the withdrawal of a batch that was sent after a heartbeat that was held up.
test('a heartbeat that was held up withdraws no batch that came after it', () => {
  const { clock, keptAgesMs, receive, senderNowMs } = createFixture();
  receive(senderNowMs() - 2);
  const sentAtMs = senderNowMs();
  clock.jump(2_000);
  receive(sentAtMs);
  const [, heldUp] = keptAgesMs;
  assert.ok(heldUp !== undefined && heldUp >= 2_500, `${heldUp} ms`);
});

test('only a bounded number of processes is remembered', () => {
  const { ages } = createFixture();
  for (let index = 0; index < 5_000; index += 1) {
    ages.recordHeartbeat(`process-${index}`, 0);
  }
  assert.ok(ages.size <= 1_024);
});

// Guards against leases that go on beside a caller's next attempt, since a link was slow from the first message on.
test('a message counts as no younger than it is on a link that is slow all the while', async () => {
  const delayMs = 200;
  const { clock, ages, confirmedAgosMs, receive, senderNowMs } = createFixture();
  for (let round = 0; round < 20; round += 1) {
    const sentAtMs = senderNowMs();
    await clock.advance(delayMs);
    ages.recordRoundTrip(sender.incarnation, delayMs + round + 1);
    receive(sentAtMs);
    assert.is(ages.ageMs(sender.incarnation, sentAtMs), 0);
    assert.ok((confirmedAgosMs.at(-1) ?? 0) > delayMs);
  }
  assert.is(ages.shortestRoundTripMs('unknown'), undefined);
});

// Guards against a link that is late for so long that its delay is taken for the offset of the clocks.
test('the delay of messages that are late for long is not forgotten', () => {
  const clock = FakeClock.create();
  const ages = MessageAges.create(clock);
  const lateMs = 900;
  const delayOf = (lateByMs: number): number | undefined => {
    clock.jump(300);
    const sentAtMs = ages.timestampMs() - lateByMs;
    ages.recordHeartbeat('peer', sentAtMs);
    return ages.delayMs('peer', sentAtMs);
  };
  assert.is(delayOf(1), undefined, 'the first heartbeat has nothing to compare with');
  assert.is(delayOf(1), 0);
  for (let count = 0; count < 40; count += 1) {
    const delayMs = delayOf(lateMs) ?? 0;
    assert.ok(delayMs > lateMs - 20 && delayMs <= lateMs, `${delayMs} ms`);
  }
  assert.is(delayOf(1), 0);
});

test.run();
