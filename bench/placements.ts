/**
 * `npm run bench:placements`: measures the time of one placement at a dispatcher, against the number of its workers and of
 * the tasks that wait. One placement: cores become free on one worker, a task arrives, and the first waiting task starts.
 */
import { noMetrics } from '../src/adapters/system/noMetrics.js';
import { OpenBatch } from '../src/dispatch/openBatch.js';
import { unconfirmedLeaseTimes } from '../src/dispatch/leaseTimes.js';
import { TaskStarter } from '../src/dispatch/taskStarter.js';
import { WorkerPool } from '../src/dispatch/workerPool.js';
import { batchFixture, workerFixture } from '../src/testing/dispatchFixtures.js';
import { FakeClock } from '../src/testing/fakeClock.js';
import { SeededRandom } from '../src/testing/seededRandom.js';
import { silentLogger } from '../src/testing/silentLogger.js';
import { silentSupervisor } from '../src/testing/silentSupervisor.js';
import { SimulatedWorkers } from '../src/testing/simulatedWorkers.js';
import type { WorkerRecord } from '../src/types/workers.js';
import { WorkerSpeedCache } from '../src/workers/workerSpeedCache.js';

const workerCounts = [30, 97, 300, 910] as const;
const waitingCounts = [100, 1_000, 10_000, 100_000] as const;
const fixedWorkers = 97;
const fixedWaiting = 1_000;
const warmUpPlacements = 100;
const measuredPlacements = 400;
const microsecondsPerMs = 1_000;
/** Longer than any measurement in virtual time, in milliseconds. */
const longMs = 1e9;
const priorities = 3;
/** One task occupies a whole worker. */
const needs = { resources: { cpuMillis: 32_000, memoryMb: 64, accelerators: 0 } };

/** Makes room for one more task. */
const withMoreCores = (record: WorkerRecord): WorkerRecord => {
  const cpuMillis = record.capacity.cpuMillis + needs.resources.cpuMillis;
  return { ...record, capacity: { ...record.capacity, cpuMillis } };
};

/** @returns microseconds of one placement */
const measure = async (workerCount: number, waitingCount: number): Promise<number> => {
  const clock = FakeClock.create();
  const random = SeededRandom.create(1);
  const leaseTimes = unconfirmedLeaseTimes(1_000);
  const supervisor = silentSupervisor(clock);
  const workers = SimulatedWorkers.create({
    ...{ clock, runMs: longMs, startedAtMs: 5, crashesWorker: () => false },
  });
  const common = { clock, logger: silentLogger, supervisor, leaseTimes, farRackFactor: 1.5 };
  const pool = WorkerPool.create({
    ...{ ...common, workers, speeds: WorkerSpeedCache.create() },
    ...{ onEnd: () => undefined, onLifetime: () => undefined, onUnanswered: () => undefined },
    onAvailabilityChange: () => undefined,
  });
  const starter = TaskStarter.create({
    schedulingPolicy: 'priority',
    ...{ ...common, random, metrics: noMetrics, workers: pool, awaitsProof: () => false },
  });
  let records = Array.from({ length: workerCount }, (_, index) => ({
    ...workerFixture,
    workerId: `i-${index}`,
    address: `127.0.0.1:${index}`,
  }));
  void pool.setWorkers(records, 1);
  await clock.advance(100);
  let lastBatch = 0;
  const enqueue = (): void => {
    lastBatch += 1;
    const id = lastBatch.toString(16).padStart(16, '0');
    const limits = { objectiveInMs: longMs * (1 + random.next()), giveUpInMs: longMs * 3 };
    const batch = OpenBatch.create(
      'vm',
      {
        ...{ ...batchFixture, ...limits, needs, expiresInMs: longMs * 3, batchId: id, jobId: id },
        priority: lastBatch % priorities,
      },
      clock.nowMs(),
    );
    const [task] = batch.tasks;
    if (task !== undefined) {
      starter.enqueue(task);
    }
  };
  const queued = (): number => starter.listWaiting().length;
  for (let count = 0; count < waitingCount + workerCount; count += 1) {
    enqueue();
  }
  starter.startReadyTasks();
  if (queued() !== waitingCount) {
    throw new Error(`${queued()} tasks wait instead of ${waitingCount}.`);
  }
  let elapsedMs = 0;
  for (let number = 0; number < warmUpPlacements + measuredPlacements; number += 1) {
    records = records.map((record, index) =>
      index === number % workerCount ? withMoreCores(record) : record,
    );
    void pool.setWorkers(records, 1);
    const startedAtMs = performance.now();
    enqueue();
    starter.startReadyTasks();
    elapsedMs += number < warmUpPlacements ? 0 : performance.now() - startedAtMs;
  }
  if (queued() !== waitingCount) {
    throw new Error(`${queued()} tasks wait after the placements instead of ${waitingCount}.`);
  }
  starter.close();
  return (elapsedMs / measuredPlacements) * microsecondsPerMs;
};

/** Prints a cost for each count, and the exponent by which it grows with the count. */
const printSeries = async (
  unit: string,
  counts: readonly number[],
  measureAt: (count: number) => Promise<number>,
): Promise<void> => {
  const costsUs: number[] = [];
  for (const count of counts) {
    const costUs = await measureAt(count);
    costsUs.push(costUs);
    process.stdout.write(`${count} ${unit}: ${costUs.toFixed(1)} µs for a placement\n`);
  }
  const growth = Math.log((costsUs.at(-1) ?? 1) / (costsUs[0] ?? 1));
  const exponent = growth / Math.log((counts.at(-1) ?? 1) / (counts[0] ?? 1));
  process.stdout.write(`exponent ${exponent.toFixed(2)} in the ${unit}\n`);
};

await printSeries('workers', workerCounts, (count) => measure(count, fixedWaiting));
await printSeries('waiting tasks', waitingCounts, (count) => measure(fixedWorkers, count));
process.exit(0);
