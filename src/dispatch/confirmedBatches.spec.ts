import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { noMetrics } from '../adapters/system/noMetrics.js';
import { batchFixture, workerFixture } from '../testing/dispatchFixtures.js';
import { FakeClock } from '../testing/fakeClock.js';
import { ScriptedWorkers } from '../testing/scriptedWorkers.js';
import { SeededRandom } from '../testing/seededRandom.js';
import { silentLogger } from '../testing/silentLogger.js';
import { WorkerSpeedCache } from '../workers/workerSpeedCache.js';
import { Dispatcher } from './dispatcher.js';
import type { LeaseTimes } from './leaseTimes.js';

const leaseTimes: LeaseTimes = { leaseMs: 800, longestLeaseMs: 1_000, confirmationMs: 1_240 };
const requester = 'requester';
const { batchId } = batchFixture;
const batch = {
  ...batchFixture,
  ...{ estimatedMs: 10_000, objectiveInMs: 20_000, giveUpInMs: 30_000, expiresInMs: 30_000 },
};

/** A dispatcher of one worker, whose report lists every run that it was told to start. */
const createFixture = async () => {
  const clock = FakeClock.create();
  const workers = ScriptedWorkers.create(clock);
  workers.onStart = ({ taskName, run }) => {
    workers.report = { ...workers.report, running: [...workers.report.running, { taskName, run }] };
    return { kind: 'started', workerClockMs: clock.nowMs() };
  };
  const dispatcher = Dispatcher.create({
    schedulingPolicy: 'priority',
    ...{ clock, workers, leaseTimes, logger: silentLogger, metrics: noMetrics },
    ...{ random: SeededRandom.create(1), farRackFactor: 1, speeds: WorkerSpeedCache.create() },
  });
  void dispatcher.setWorkers([workerFixture], 1);
  await clock.advance(100);
  const lastLeaseEndMs = (): number =>
    Math.max(
      ...[...workers.starts, ...workers.holds].map(({ leaseEndWorkerMs }) => leaseEndWorkerMs ?? 0),
    );
  const close = async (): Promise<void> => {
    const closing = dispatcher.close();
    await clock.advance(2_000);
    await closing;
  };
  return { clock, workers, dispatcher, lastLeaseEndMs, close };
};

// Guards against a run that is renewed for a requester which says no more that it waits for it.
test('no lease goes beyond the time that the last confirmation of a batch allows', async () => {
  const { clock, dispatcher, lastLeaseEndMs, close } = await createFixture();
  void dispatcher.run(requester, batch);
  await clock.advance(300);
  dispatcher.confirm(requester, (id) => id === batchId, 50);
  const confirmedAtMs = clock.nowMs() - 50;
  dispatcher.confirm('another requester', () => true, 0);
  dispatcher.confirm(requester, () => false, 0);
  await clock.advance(1_500);
  assert.ok(lastLeaseEndMs() > confirmedAtMs + leaseTimes.leaseMs);
  assert.ok(lastLeaseEndMs() <= confirmedAtMs + leaseTimes.confirmationMs);
  await close();
});

// Guards against a run that is renewed beyond the time at which its caller may have sent the job again.
test('no lease goes beyond the end of the runs that a batch states, however often it is confirmed', async () => {
  const { clock, workers, dispatcher, lastLeaseEndMs, close } = await createFixture();
  const runsEndInMs = 1_500;
  const runsEndAtMs = clock.nowMs() + runsEndInMs;
  void dispatcher.run(requester, { ...batch, runsEndInMs });
  for (let passedMs = 0; passedMs < 2 * runsEndInMs; passedMs += 100) {
    await clock.advance(100);
    dispatcher.confirm(requester, () => true, 0);
  }
  assert.is(workers.starts.length, 1);
  assert.ok(lastLeaseEndMs() <= runsEndAtMs);
  assert.ok(lastLeaseEndMs() > runsEndAtMs - 100);
  await close();
});

// Guards against a task that waits until its caller leaves, though no lease for it can end in time any more.
test('a task for which no lease ends in time expires at once', async () => {
  const { clock, workers, dispatcher, close } = await createFixture();
  const running = dispatcher.run(requester, { ...batch, runsEndInMs: leaseTimes.leaseMs });
  await clock.advance(30);
  const { ends } = await running;
  assert.equal(ends, [{ kind: 'expired', index: 0 }]);
  assert.is(workers.starts.length, 0);
  await close();
});

// Guards against runs that are renewed on after their batch was withdrawn, while a heartbeat of before arrives.
test('a withdrawn batch is not confirmed any more', async () => {
  const { clock, dispatcher, lastLeaseEndMs, close } = await createFixture();
  void dispatcher.run(requester, batch);
  await clock.advance(300);
  const withdrawnAtMs = clock.nowMs();
  dispatcher.withdraw(batchId);
  await clock.advance(200);
  dispatcher.confirm(requester, () => true, 0);
  void dispatcher.run(requester, batch);
  await clock.advance(1_500);
  assert.ok(lastLeaseEndMs() <= withdrawnAtMs + leaseTimes.confirmationMs);
  await close();
});

// Guards against a start for a requester that may be gone, whose caller then comes back during the run.
test('a task of a batch that was not confirmed lately starts only with the next confirmation', async () => {
  const { clock, workers, dispatcher, close } = await createFixture();
  void dispatcher.run(requester, batch, 500);
  await clock.advance(100);
  assert.is(workers.starts.length, 0);
  dispatcher.confirm(requester, () => true, 0);
  await clock.advance(100);
  assert.is(workers.starts.length, 1);
  await close();
});

// Guards against a lease on a slow clock that was read long ago, which ends later than one on a clock just read.
test('a start on a worker that was idle for long needs a later confirmation', async () => {
  const { clock, workers, dispatcher, close } = await createFixture();
  await clock.advance(4_800);
  void dispatcher.run(requester, batch, 300);
  await clock.advance(50);
  assert.is(workers.starts.length, 0);
  dispatcher.confirm(requester, () => true, 0);
  await clock.advance(50);
  assert.is(workers.starts.length, 1);
  await close();
});

// Guards against a start for one requester that renews the runs of another one, which is gone.
test('a start beside a run of another requester keeps to the limit of that run', async () => {
  const { clock, workers, dispatcher, lastLeaseEndMs, close } = await createFixture();
  void dispatcher.run(requester, batch);
  const confirmedAtMs = clock.nowMs();
  await clock.advance(890);
  void dispatcher.run('another requester', { ...batch, batchId: 'b-2', jobId: '2' });
  await clock.advance(300);
  assert.is(workers.starts.length, 1);
  assert.ok(lastLeaseEndMs() <= confirmedAtMs + leaseTimes.confirmationMs);
  dispatcher.confirm(requester, () => true, 0);
  await clock.advance(50);
  assert.is(workers.starts.length, 2);
  await close();
});

// Guards against a limit that slides by a suspension, since the monotonic clock omits it.
test('a suspension counts as time since the confirmation', async () => {
  const { clock, dispatcher, lastLeaseEndMs, close } = await createFixture();
  void dispatcher.run(requester, batch);
  const confirmedAtMs = clock.nowMs();
  const suspendedMs = 400;
  dispatcher.recordSuspension(suspendedMs);
  await clock.advance(2_000);
  assert.ok(lastLeaseEndMs() <= confirmedAtMs + leaseTimes.confirmationMs - suspendedMs);
  await close();
});

// Guards against a withdrawal that stops the run of the same task for another attempt.
test('the withdrawal of a waiting repeat leaves the run of the first attempt alone', async () => {
  const { clock, workers, dispatcher, close } = await createFixture();
  void dispatcher.run(requester, batch);
  void dispatcher.run(requester, { ...batch, batchId: 'repeat' });
  await clock.advance(50);
  dispatcher.withdraw('repeat');
  await clock.advance(50);
  assert.equal(workers.stops, []);
  await close();
});

test.run();
