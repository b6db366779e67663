import { Err, Ok } from 'ts-results-es';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { noMetrics } from '../adapters/system/noMetrics.js';
import type { Clock } from '../ports/clock.js';
import type { FleetConnector, FleetLink } from '../ports/fleetPeers.js';
import type { FleetStore } from '../ports/fleetStore.js';
import type { JobEnd, JobRequest } from '../ports/jobs.js';
import { batchFixture, workerFixture } from '../testing/dispatchFixtures.js';
import { FakeClock } from '../testing/fakeClock.js';
import { SeededRandom } from '../testing/seededRandom.js';
import { silentLogger } from '../testing/silentLogger.js';
import { SimulatedWorkers } from '../testing/simulatedWorkers.js';
import type { BatchReply } from '../types/dispatch.js';
import type { FleetHeartbeat } from '../types/fleet.js';
import type { Route } from '../types/routing.js';
import { FleetDaemon } from './fleetDaemon.js';

const { serviceId, failureDomainId } = workerFixture;
const member = { incarnation: 'own', address: '127.0.0.1:1', failureDomainId, weight: 1 };
const runMs = 400;
const standstillMs = 4_000;

const route: Route = {
  routeId: 'r',
  host: 'jobs.example',
  pathPrefix: '/fit/',
  serviceId,
  priority: 0,
  maxFailedRuns: 3,
  timeoutMs: 60_000,
  objectiveStretch: 20,
  objectiveSlackMs: 60,
};

const other = { ...member, incarnation: 'other', address: '127.0.0.1:2' };

/** A heartbeat of the other daemon, with its timestamp. */
const heartbeatOf = (sentAtMs: number): FleetHeartbeat => ({
  member: other,
  sentAtMs,
  routingVersion: -1,
  isLeaving: false,
  load: { workers: [] },
  askedBatchIds: [],
});

const jobOf = (jobId: string, taskCount = 2): JobRequest => ({
  jobId,
  spec: '',
  steps: [
    {
      taskCount,
      estimatedMs: runMs,
      after: [],
      needs: { resources: { cpuMillis: 14_000, memoryMb: 64, accelerators: 0 } },
    },
  ],
  unsupported: [],
});

/** A daemon that dispatches to one worker with room for two tasks. */
const createFixture = async () => {
  const clock = FakeClock.create();
  let suspendedMs = 0;
  const daemonClock: Clock = {
    nowMs: () => clock.nowMs(),
    wallMs: () => clock.wallMs() + suspendedMs,
    bootMs: () => clock.bootMs() + suspendedMs,
    sleep: (durationMs, signal) => clock.sleep(durationMs, signal),
    nextTurn: () => clock.nextTurn(),
  };
  const startedAtMs = workerFixture.startedAtMs ?? 0;
  const workers = SimulatedWorkers.create({
    clock,
    runMs,
    startedAtMs,
    crashesWorker: () => false,
  });
  const link: Pick<FleetLink, 'beat' | 'close'> = {
    beat: async () => Err({ kind: 'broken', detail: 'silent' }),
    close: async () => undefined,
  };
  const joins: number[] = [];
  const store: Partial<FleetStore> = {
    shardCount: 1,
    join: async () => {
      joins.push(clock.nowMs());
      return Ok({ generation: 1, shards: [0] });
    },
    listMembers: async () => Ok([]),
    readRouting: async () => Ok({ routing: undefined, nextOffset: 1, faults: [] }),
    awaitRouting: async (_offset, waitMs, signal) => {
      await clock.sleep(waitMs, signal);
      return Ok({ routing: undefined, nextOffset: 1, faults: [] });
    },
    listWorkers: async () =>
      Ok({ changes: [{ kind: 'listed', worker: workerFixture }], nextOffset: 1 }),
    readWorkerChanges: async () => Ok({ changes: [], nextOffset: 1 }),
    readLearned: async () => Ok([]),
    saveLearned: async () => Ok(undefined),
    close: async () => undefined,
  };
  const daemon = FleetDaemon.create(
    {
      member,
      failureDomainIds: [failureDomainId],
      longestLeaseMs: 1_000,
      farRackFactor: 1.5,
      stopGraceMs: 6_000,
    },
    {
      clock: daemonClock,
      random: SeededRandom.create(3),
      logger: silentLogger,
      metrics: noMetrics,
      store: store as FleetStore,
      workers,
      connector: { connect: () => link } as unknown as FleetConnector,
    },
  );
  await clock.advance(2_000);
  assert.is(daemon.openWorkerCount, 1);
  const ends = new Map<string, JobEnd>();
  const submit = (job: JobRequest): AbortController => {
    const caller = new AbortController();
    void daemon.intake
      .submit(route, job, 60_000, caller.signal)
      .then((end) => ends.set(job.jobId, end));
    return caller;
  };
  const startsOf = (jobId: string): number =>
    workers.starts.filter(({ taskName }) => taskName.startsWith(jobId)).length;
  const close = async (): Promise<void> => {
    const closing = daemon.close();
    await clock.advance(6_000);
    await closing;
  };
  const suspend = (durationMs: number): void => void (suspendedMs += durationMs);
  return { clock, daemon, ends, joins, link, submit, startsOf, suspend, close };
};

// Guards against a job that waited in the socket of a paused process, and that its caller has sent elsewhere since.
test('a job that is read after a standstill, and whose caller has left, starts nothing', async () => {
  const { clock, ends, submit, startsOf, close } = await createFixture();
  clock.jump(standstillMs);
  const caller = submit(jobOf('left'));
  await clock.flushCallbacks();
  caller.abort();
  await clock.advance(2_000);
  assert.is(startsOf('left'), 0);
  assert.equal(ends.get('left'), { kind: 'cancelled' });
  await close();
});

// Guards against a job that is refused or lost although its caller waits.
test('a job that is read after a standstill, and whose caller waits, runs', async () => {
  const { clock, ends, submit, startsOf, close } = await createFixture();
  clock.jump(standstillMs);
  submit(jobOf('waits'));
  await clock.advance(3_000);
  assert.is(startsOf('waits'), 2);
  assert.equal(ends.get('waits'), { kind: 'completed' });
  await close();
});

// Guards against tasks of earlier jobs that overdue timers start after a standstill, before its detection.
test('after a standstill the tasks that waited before it start nowhere, whatever wakes first', async () => {
  const { clock, ends, submit, startsOf, close } = await createFixture();
  submit(jobOf('before', 6));
  await clock.advance(100);
  assert.is(startsOf('before'), 2);
  clock.jump(standstillMs);
  await clock.advance(8_000);
  assert.is(startsOf('before'), 2);
  assert.is(ends.get('before')?.kind, 'given-up');
  submit(jobOf('after'));
  await clock.advance(3_000);
  assert.equal(ends.get('after'), { kind: 'completed' });
  await close();
});

// Guards against tasks of a requester that took this daemon for lost, beside the next attempt of its caller.
test('after a standstill the waiting tasks of another daemon start nowhere', async () => {
  const { clock, daemon, startsOf, close } = await createFixture();
  daemon.peerService.beat(heartbeatOf(clock.nowMs()));
  const limitMs = 20_000;
  const batch = {
    ...batchFixture,
    ...{ objectiveInMs: limitMs, giveUpInMs: limitMs, expiresInMs: limitMs, maxWaitMs: limitMs },
    tasks: [0, 1, 2, 3, 4].map((index) => ({ index, nextRun: 1, failedRuns: 0, lostWorkers: 0 })),
  };
  void daemon.peerService.runBatch({ askedBy: 'other', sentAtMs: clock.nowMs(), batch });
  await clock.advance(100);
  assert.is(startsOf(batch.jobId), 2);
  clock.jump(standstillMs);
  await clock.advance(3_000);
  assert.is(startsOf(batch.jobId), 2);
  await close();
});

// Guards against a batch that waited through a suspension of the VM, for which the monotonic clock stands.
test('a batch that is read first after a suspension counts with its whole age', async () => {
  const { clock, daemon, startsOf, suspend, close } = await createFixture();
  const beat = (): void => void daemon.peerService.beat(heartbeatOf(clock.nowMs()));
  beat();
  await clock.advance(300);
  beat();
  const sentAtMs = clock.nowMs();
  suspend(standstillMs);
  let reply: BatchReply | undefined;
  void daemon.peerService
    .runBatch({ askedBy: 'other', sentAtMs, batch: batchFixture })
    .then((one) => (reply = one));
  await clock.advance(500);
  assert.ok(reply?.ends.every(({ kind }) => kind === 'returned'));
  assert.is(startsOf(batchFixture.jobId), 0);
  await close();
});

// Guards against batches that are returned for seconds, since one answer was read before a suspension was noticed.
test('a heartbeat that was sent during a suspension leaves the ages of later messages right', async () => {
  const { clock, daemon, link, startsOf, suspend, close } = await createFixture();
  daemon.peerService.beat(heartbeatOf(clock.nowMs()));
  const { beat } = link;
  let answered = 0;
  link.beat = async () => {
    link.beat = beat;
    answered += 1;
    suspend(standstillMs);
    return Ok(heartbeatOf(clock.nowMs() + standstillMs - 1_000));
  };
  await clock.advance(1_000);
  assert.is(answered, 1);
  const sentAtMs = clock.nowMs() + standstillMs;
  daemon.peerService.beat(heartbeatOf(sentAtMs));
  void daemon.peerService.runBatch({ askedBy: 'other', sentAtMs, batch: batchFixture });
  await clock.advance(100);
  assert.is(startsOf(batchFixture.jobId), batchFixture.tasks.length);
  await close();
});

// Guards against a process that acts on shards which the store has given to another one meanwhile.
test('after a standstill the membership is renewed at once', async () => {
  const { clock, joins, close } = await createFixture();
  await clock.advance(50);
  clock.jump(standstillMs);
  const wokenAtMs = clock.nowMs();
  await clock.advance(1);
  assert.is(joins.at(-1), wokenAtMs);
  await close();
});

// Guards against a caller that leaves while its request is read, after which nobody would end the job.
test('a job whose caller has left before it is submitted starts nothing', async () => {
  const { clock, daemon, startsOf, close } = await createFixture();
  const end = daemon.intake.submit(route, jobOf('gone'), 60_000, AbortSignal.abort());
  await clock.advance(2_000);
  assert.equal(await end, { kind: 'cancelled' });
  assert.is(startsOf('gone'), 0);
  await close();
});

test.run();
