/**
 * A dispatcher with simulated workers on a fake clock.
 */
import { noMetrics } from '../adapters/system/noMetrics.js';
import { Dispatcher } from '../dispatch/dispatcher.js';
import { unconfirmedLeaseTimes } from '../dispatch/leaseTimes.js';
import type { Batch, BatchReply, TaskEnd } from '../types/dispatch.js';
import type { WorkerRecord } from '../types/workers.js';
import { WorkerSpeedCache } from '../workers/workerSpeedCache.js';
import { batchFixture, workerFixture } from './dispatchFixtures.js';
import { FakeClock } from './fakeClock.js';
import { SeededRandom } from './seededRandom.js';
import { silentLogger } from './silentLogger.js';
import { SimulatedWorkers } from './simulatedWorkers.js';
import type { SimulatedWorkersOptions } from './simulatedWorkers.js';

/** Longer than any batch of these tests lasts, in milliseconds. */
const longestBatchMs = 25_000;
/** Longer than any order takes, in milliseconds. */
const lastOrderMs = 2_000;
const fencingToken = 1;

/** Name of the first task of `batchFixture` on the workers. */
export const firstTaskName = `${batchFixture.jobId}.0.${batchFixture.stepIndex}.0`;

/** @returns whether a name on the workers is the one of the fixture's first task */
export const isFirstTask = (taskName: string): boolean => taskName === firstTaskName;

export interface DispatcherFixture {
  readonly clock: FakeClock;
  readonly workers: SimulatedWorkers;
  readonly dispatcher: Dispatcher;
  readonly records: readonly WorkerRecord[];
  /** Sets the entries of the workers, such as with another capacity. */
  readonly list: (records: readonly WorkerRecord[]) => void;
}

export interface DispatcherFixtureOptions extends Pick<
  SimulatedWorkersOptions,
  'crashDownMs' | 'down'
> {
  readonly workerCount: number;
  readonly crashesWorker?: (taskName: string) => boolean;
  /** Run time of every task, in milliseconds. */
  readonly runMs?: number;
}

/** Creates a dispatcher that has taken its workers over. */
export const createDispatcherFixture = async ({
  workerCount,
  crashesWorker = () => false,
  runMs = 100,
  ...crashes
}: DispatcherFixtureOptions): Promise<DispatcherFixture> => {
  const clock = FakeClock.create();
  const startedAtMs = workerFixture.startedAtMs ?? 0;
  const workers = SimulatedWorkers.create({
    ...{ clock, runMs, startedAtMs, crashesWorker },
    ...crashes,
  });
  const dispatcher = Dispatcher.create({
    clock,
    random: SeededRandom.create(1),
    logger: silentLogger,
    metrics: noMetrics,
    workers,
    leaseTimes: unconfirmedLeaseTimes(1_000),
    farRackFactor: 1.5,
    schedulingPolicy: 'priority',
    speeds: WorkerSpeedCache.create(),
  });
  const records = Array.from({ length: workerCount }, (_, index) => ({
    ...workerFixture,
    workerId: `i-${index}`,
    address: `127.0.0.1:${index}`,
  }));
  const list = (listed: readonly WorkerRecord[]): void =>
    void dispatcher.setWorkers(listed, fencingToken);
  list(records);
  await clock.advance(100);
  return { clock, workers, dispatcher, records, list };
};

/** A batch of the fixture's job with so much time that only runs, not limits, end its tasks. */
export const patientBatch = (taskCount: number, changes: Partial<Batch> = {}): Batch => ({
  ...batchFixture,
  objectiveInMs: 20_000,
  giveUpInMs: 30_000,
  expiresInMs: 30_000,
  maxWaitMs: 20_000,
  tasks: Array.from({ length: taskCount }, (_, index) => ({
    index,
    nextRun: 1,
    failedRuns: 0,
    lostWorkers: 0,
  })),
  ...changes,
});

/** Runs a batch and returns the ends of its tasks after a time in milliseconds. */
export const runToEnd = async (
  { clock, dispatcher }: DispatcherFixture,
  batch: Batch,
  durationMs = longestBatchMs,
): Promise<readonly TaskEnd[]> => {
  let reply: BatchReply | undefined;
  void dispatcher.run('vm', batch).then((one) => (reply = one));
  await clock.advance(durationMs);
  return reply?.ends ?? [];
};

/** Closes the dispatcher; its last orders end on the fake clock. */
export const closeDispatcher = async ({ clock, dispatcher }: DispatcherFixture): Promise<void> => {
  const closing = dispatcher.close();
  await clock.advance(lastOrderMs);
  await closing;
};
