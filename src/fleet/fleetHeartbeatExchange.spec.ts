import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { BatchRouter } from '../bestEffort/batchRouter.js';
import type { HeldJob, RunningJobs } from '../bestEffort/runningJobs.js';
import { FleetView } from '../bestEffort/fleetView.js';
import { RunTimePredictor } from '../bestEffort/runTimePredictor.js';
import { RoutingStore } from '../routing/routingStore.js';
import {
  closeDispatcher,
  createDispatcherFixture,
  firstTaskName,
  patientBatch,
  runToEnd,
} from '../testing/dispatcherFixture.js';
import type { DispatcherFixture } from '../testing/dispatcherFixture.js';
import { silentLogger } from '../testing/silentLogger.js';
import { WorkerSpeedCache } from '../workers/workerSpeedCache.js';
import { CallerContact } from './callerContact.js';
import { FleetHeartbeatExchange } from './fleetHeartbeatExchange.js';
import type { FleetPeers } from './fleetPeers.js';
import { HeldJobs } from './heldJobs.js';
import { MessageAges } from './messageAges.js';
import { RequesterLeases } from './requesterLeases.js';

const createExchange = (
  ownId: string,
  { clock, dispatcher }: DispatcherFixture,
  heldJobs: HeldJob[] = [],
): FleetHeartbeatExchange => {
  const router: Pick<BatchRouter, 'requestedBatchIds' | 'failBatchesAt'> = {
    requestedBatchIds: () => [],
    failBatchesAt: () => undefined,
  };
  const jobs: Pick<RunningJobs, 'listCancelled' | 'listHeld'> = {
    listCancelled: () => [],
    listHeld: () => heldJobs,
  };
  const ages = MessageAges.create(clock);
  return FleetHeartbeatExchange.create({
    clock,
    contact: CallerContact.create(clock),
    ages,
    leases: RequesterLeases.create(ages),
    own: { incarnation: ownId, address: '127.0.0.1:1', failureDomainId: 'east', weight: 1 },
    logger: silentLogger,
    routing: RoutingStore.create(),
    lengths: RunTimePredictor.create(),
    speeds: WorkerSpeedCache.create(),
    view: FleetView.create({
      clock,
      ownId,
      ownLoad: () => ({ workers: [] }),
      findWorker: () => undefined,
    }),
    router: router as BatchRouter,
    dispatcher,
    jobs: jobs as RunningJobs,
    held: HeldJobs.create(clock, ownId),
    confirmationMs: 1_200,
    peers: () => ({ find: () => undefined }) as unknown as FleetPeers,
  });
};

// Guards against a task that goes on crashing workers when its job is submitted to another daemon.
test('a task under which workers have crashed is not started by the other daemons', async () => {
  // Workers that are back before and after the lease could end.
  const cases = [
    { crashDownMs: 100, workedMs: 2_000 },
    { crashDownMs: 3_000, workedMs: 6_000 },
  ];
  for (const { crashDownMs, workedMs } of cases) {
    const options = { workerCount: 3, crashesWorker: () => true, crashDownMs };
    const first = await createDispatcherFixture(options);
    const second = await createDispatcherFixture(options);
    const limits = { giveUpInMs: workedMs, expiresInMs: workedMs };
    await runToEnd(first, patientBatch(1, limits), workedMs);
    assert.is(first.workers.startsOf(firstTaskName).length, 2);
    const heartbeat = createExchange('first', first).composeHeartbeat('second', false);
    createExchange('second', second).handleHeartbeat(heartbeat);
    const [end] = await runToEnd(second, patientBatch(1), 1_000);
    assert.is(end?.kind, 'withdrawn');
    assert.is(second.workers.starts.length, 0);
    await closeDispatcher(first);
    await closeDispatcher(second);
  }
});

// Guards against a task that goes on crashing workers at a daemon that begins after the losses were announced.
test('a daemon that begins later is told of losses by one that only heard of them', async () => {
  const options = { workerCount: 3, crashesWorker: () => true, crashDownMs: 3_000 };
  const [first, second, third] = await Promise.all([
    createDispatcherFixture(options),
    createDispatcherFixture(options),
    createDispatcherFixture(options),
  ]);
  await runToEnd(first, patientBatch(1, { giveUpInMs: 6_000, expiresInMs: 6_000 }), 6_000);
  const ofSecond = createExchange('second', second);
  ofSecond.handleHeartbeat(createExchange('first', first).composeHeartbeat('second', false));
  await second.clock.advance(10_000);
  createExchange('third', third).handleHeartbeat(ofSecond.composeHeartbeat('third', false));
  const [end] = await runToEnd(third, patientBatch(1), 1_000);
  assert.is(end?.kind, 'withdrawn');
  assert.is(third.workers.starts.length, 0);
  for (const fixture of [first, second, third]) {
    await closeDispatcher(fixture);
  }
});

// Guards against a task that waits at a dispatcher while its workers crash at another one, and is started after that.
test('a task that waits is given up when another daemon announces enough losses', async () => {
  const fixture = await createDispatcherFixture({ workerCount: 1, runMs: 2_000 });
  const exchange = createExchange('own', fixture);
  const busy = { batchId: 'b-0', jobId: '0000000000000002', estimatedMs: 2_000 };
  void fixture.dispatcher.run('vm', patientBatch(2, busy));
  const waiting = fixture.dispatcher.run('vm', patientBatch(1));
  await fixture.clock.advance(100);
  const other = await createDispatcherFixture({ workerCount: 1 });
  const heartbeat = createExchange('other', other).composeHeartbeat('own', false);
  const losses = ['b-7.1', 'b-8.1'].map((id) => ({ id, status: 'likely' as const }));
  const suspects = [{ taskName: firstTaskName, lostWorkers: 2, losses }];
  exchange.handleHeartbeat({ ...heartbeat, suspects });
  assert.equal(
    (await waiting).ends.map(({ kind }) => kind),
    ['withdrawn'],
  );
  await closeDispatcher(fixture);
  await closeDispatcher(other);
});

// Guards against a task that starts beside a start in doubt of another daemon, or waits on when that one's doubt is over.
test('a task waits while another daemon announces a start of it in doubt', async () => {
  const fixture = await createDispatcherFixture({ workerCount: 1 });
  const exchange = createExchange('own', fixture);
  const other = await createDispatcherFixture({ workerCount: 1 });
  const exchangeOfOther = createExchange('other', other);
  other.dispatcher.doubts.recordUnanswered('b-7.1', firstTaskName, 'i-7');
  exchange.handleHeartbeat(exchangeOfOther.composeHeartbeat('own', false));
  const reply = fixture.dispatcher.run('vm', patientBatch(1));
  await fixture.clock.advance(100);
  assert.is(fixture.workers.starts.length, 0);
  other.dispatcher.doubts.resolve('b-7.1');
  exchange.handleHeartbeat(exchangeOfOther.composeHeartbeat('own', false));
  await fixture.clock.advance(100);
  assert.is(fixture.workers.starts.length, 1);
  fixture.dispatcher.withdraw(patientBatch(1).batchId);
  await reply;
  await closeDispatcher(fixture);
  await closeDispatcher(other);
});

// Guards against a job that counts as stated to a daemon which has heard nothing, and runs a second time there.
test('held jobs are all stated again to a daemon that was not heard, or has not answered', async () => {
  const fixture = await createDispatcherFixture({ workerCount: 1 });
  const other = await createDispatcherFixture({ workerCount: 1 });
  const heldJobs = Array.from({ length: 100 }, (_, index) => ({
    ...{ jobId: `job-${index}`, leftMs: 60_000 },
  }));
  const exchange = createExchange('own', fixture, heldJobs);
  const countStated = (): number =>
    Object.keys(exchange.composeHeartbeat('other', false).heldJobs?.[0]?.leftMsByJob ?? {}).length;
  const hear = (): void =>
    exchange.handleHeartbeat(createExchange('other', other).composeHeartbeat('own', false));
  const countFour = (): number[] => [1, 2, 3, 4].map(countStated);
  assert.equal(countFour(), [100, 100, 100, 100]);
  hear();
  assert.equal(countFour(), [100, 100, 32, 32]);
  exchange.handleUnanswered('other');
  assert.equal(countFour(), [100, 100, 32, 32]);
  exchange.handleLostDaemon('other', 'replaced');
  assert.equal(countFour(), [100, 100, 100, 100]);
  await closeDispatcher(fixture);
  await closeDispatcher(other);
});

test.run();
