import { Ok } from 'ts-results-es';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { FleetStore, WorkerChange } from '../ports/fleetStore.js';
import { workerFixture } from '../testing/dispatchFixtures.js';
import { FakeClock } from '../testing/fakeClock.js';
import { silentLogger } from '../testing/silentLogger.js';
import type { WorkerRecord } from '../types/workers.js';
import { WorkerDirectory } from './workerDirectory.js';

const withCores = (cpuMillis: number, startedAtMs = 5): WorkerRecord => ({
  ...workerFixture,
  startedAtMs,
  capacity: { ...workerFixture.capacity, cpuMillis },
});

const needsOf = (cpuMillis: number) => ({ cpuMillis, memoryMb: 64, accelerators: 0 });

/** A directory that reads the changes that a test adds. */
const createFixture = () => {
  const clock = FakeClock.create();
  const changes: WorkerChange[] = [];
  const read = () => Ok({ changes: changes.splice(0), nextOffset: 1 });
  const store: Pick<FleetStore, 'listWorkers' | 'readWorkerChanges'> = {
    listWorkers: async () => read(),
    readWorkerChanges: async () => read(),
  };
  const directory = WorkerDirectory.create({
    clock,
    logger: silentLogger,
    store: store as FleetStore,
    onChange: () => undefined,
  });
  const list = async (worker: WorkerRecord): Promise<void> => {
    changes.push({ kind: 'listed', worker });
    await clock.advance(1_100);
  };
  return { directory, list };
};

// Guards against jobs that are told that they can never run while the capacity of workers has shrunk.
test('a task that fits only the full capacity of a shrunk worker is told apart from one that never fits', async () => {
  const { directory, list } = createFixture();
  const { serviceId } = workerFixture;
  assert.is(directory.fitOf(serviceId, needsOf(1), undefined), 'unknown');
  await list(withCores(32_000));
  assert.is(directory.fitOf(serviceId, needsOf(20_000), undefined), 'fits');
  await list(withCores(16_000));
  assert.is(directory.fitOf(serviceId, needsOf(20_000), undefined), 'shrunk');
  assert.is(directory.fitOf(serviceId, needsOf(40_000), undefined), 'never');
  assert.is(directory.fitOf(serviceId, needsOf(1), 'other-label'), 'never');
  await list(withCores(32_000));
  assert.is(directory.fitOf(serviceId, needsOf(20_000), undefined), 'fits');
  await list(withCores(16_000, 6));
  assert.is(directory.fitOf(serviceId, needsOf(20_000), undefined), 'never');
  await directory.close();
});

test.run();
