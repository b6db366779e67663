import { Ok } from 'ts-results-es';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { noMetrics } from '../adapters/system/noMetrics.js';
import type { FleetStore, WorkerChange, WorkerChanges } from '../ports/fleetStore.js';
import { workerFixture } from '../testing/dispatchFixtures.js';
import { FakeClock } from '../testing/fakeClock.js';
import { silentSupervisor } from '../testing/silentSupervisor.js';
import { recordingLogger } from '../testing/recordingLogger.js';
import type { WorkerRecord } from '../types/workers.js';
import { WorkerDirectory } from './workerDirectory.js';

const withCores = (cpuMillis: number, startedAtMs = 5): WorkerRecord => ({
  ...workerFixture,
  startedAtMs,
  capacity: { ...workerFixture.capacity, cpuMillis },
});

const needsOf = (cpuMillis: number) => ({ cpuMillis, memoryMb: 64, accelerators: 0 });

/** A directory that reads the changes that a test adds. */
const createFixture = (onChange: () => void = () => undefined) => {
  const clock = FakeClock.create();
  const changes: WorkerChange[] = [];
  const reads: string[] = [];
  const counts: string[] = [];
  /** What the next reads of changes return in place of the changes. */
  const pages: (WorkerChanges | undefined)[] = [];
  const read = () => Ok({ changes: changes.splice(0), nextOffset: 1 });
  const store: Pick<FleetStore, 'listWorkers' | 'readWorkerChanges'> = {
    listWorkers: async () => {
      reads.push('list');
      return read();
    },
    readWorkerChanges: async () => {
      reads.push('changes');
      return pages.length === 0 ? read() : Ok(pages.shift());
    },
  };
  const { logger, lines } = recordingLogger();
  const directory = WorkerDirectory.create({
    supervisor: silentSupervisor(clock),
    clock,
    logger,
    metrics: { ...noMetrics, count: (name) => void counts.push(name) },
    store: store as FleetStore,
    onChange: () => onChange(),
  });
  const list = async (worker: WorkerRecord): Promise<void> => {
    changes.push({ kind: 'listed', worker });
    await clock.advance(1_100);
  };
  const listInvalid = async (workerId: string, reason: string): Promise<void> => {
    changes.push({ kind: 'unreadable', workerId, reason });
    await clock.advance(1_100);
  };
  const warnings = (): string[] => lines.filter((line) => line.startsWith('warn'));
  return { clock, directory, changes, pages, reads, counts, list, listInvalid, warnings };
};

// Guards against jobs that are sent away for long while the capacity of workers has shrunk.
test('a task that fits only the full capacity of a shrunk worker is told apart from one that fits none that is listed', async () => {
  const { directory, list } = createFixture();
  const { serviceId } = workerFixture;
  assert.is(directory.fitOf(serviceId, needsOf(1), undefined), 'unknown');
  await list(withCores(32_000));
  assert.is(directory.fitOf(serviceId, needsOf(20_000), undefined), 'fits');
  await list(withCores(16_000));
  assert.is(directory.fitOf(serviceId, needsOf(20_000), undefined), 'shrunk');
  assert.is(directory.fitOf(serviceId, needsOf(40_000), undefined), 'unlisted');
  assert.is(directory.fitOf(serviceId, needsOf(1), 'other-label'), 'unlisted');
  await list(withCores(32_000));
  assert.is(directory.fitOf(serviceId, needsOf(20_000), undefined), 'fits');
  await list(withCores(16_000, 6));
  assert.is(directory.fitOf(serviceId, needsOf(20_000), undefined), 'unlisted');
  await directory.close();
});

// Guards against a list of now that is taken for all that can come: a worker that was away, or was another kind, is used.
test('a task that fits no listed worker fits once such a worker is listed, listed again or of another kind', async () => {
  const { directory, clock, changes, list } = createFixture();
  const { serviceId, workerId } = workerFixture;
  const fitOfLarge = () => directory.fitOf(serviceId, needsOf(20_000), 'b');
  const labelled = (startedAtMs: number) => ({ ...withCores(32_000, startedAtMs), labels: ['b'] });
  await list({ ...workerFixture, workerId: 'i-other' });
  assert.is(fitOfLarge(), 'unlisted');
  await list(labelled(5));
  assert.is(fitOfLarge(), 'fits');
  changes.push({ kind: 'removed', workerId });
  await clock.advance(5_000);
  assert.is(fitOfLarge(), 'unlisted');
  await list(labelled(6));
  assert.is(fitOfLarge(), 'fits');
  await list(withCores(32_000, 7));
  assert.is(fitOfLarge(), 'unlisted');
  await list(labelled(8));
  assert.is(fitOfLarge(), 'fits');
  await directory.close();
});

// Guards against an invalid entry of another writer that takes a worker out of use, or hides what comes after it.
test('a worker whose entry was overwritten by an invalid one keeps its record, and the others stay listed', async () => {
  const { directory, changes, pages, list, listInvalid, clock } = createFixture();
  const { workerId } = workerFixture;
  const other = { ...workerFixture, workerId: 'i-other' };
  await list(workerFixture);
  await list(other);
  await listInvalid(workerId, 'odd');
  await listInvalid('i-unknown', 'odd');
  assert.is(directory.list().length, 2);
  // The whole list is read again, in which the invalid entry has replaced the right one.
  pages.push(undefined);
  changes.push({ kind: 'unreadable', workerId, reason: 'odd' }, { kind: 'listed', worker: other });
  await clock.advance(6_000);
  assert.equal(
    directory.list().map((worker) => worker.workerId),
    [workerId, 'i-other'],
  );
  await list({ ...workerFixture, state: 'draining' });
  assert.is(directory.get(workerId)?.state, 'draining');
  await directory.close();
});

// Guards against a log that another writer fills, and against an invalid entry that nobody is told of.
test('an invalid entry is logged once for each reason, again after a right one, and always counted', async () => {
  const { directory, counts, list, listInvalid, warnings } = createFixture();
  const { workerId } = workerFixture;
  await listInvalid(workerId, 'too long');
  await listInvalid(workerId, 'too long');
  assert.is(warnings().length, 1);
  await listInvalid(workerId, 'too deep');
  assert.is(warnings().length, 2);
  await list(workerFixture);
  await listInvalid(workerId, 'too deep');
  assert.is(warnings().length, 3);
  await listInvalid('k'.repeat(10_000), 'key');
  assert.ok(warnings().every((line) => line.length < 200));
  assert.equal(counts, Array<string>(5).fill('worker_entries_skipped'));
  await directory.close();
});

// Guards against a reader that asks without a pause, or stops following, where nothing can be read.
test('where the changes cannot be read, the whole list is, once in each period', async () => {
  const { directory, pages, reads, list, clock } = createFixture();
  await clock.advance(100);
  pages.push(undefined, undefined, undefined);
  await clock.advance(3_000);
  assert.equal(reads, ['list', 'changes', 'list', 'changes', 'list', 'changes', 'list']);
  await list(workerFixture);
  assert.is(directory.list().length, 1);
  await directory.close();
});

// Guards against a reader that stops for good with an error of what it tells.
test('the list is followed further after an error of whom a change is told', async () => {
  let isFaulty = true;
  const { directory, clock, list } = createFixture(() => {
    if (isFaulty) {
      throw new Error('odd');
    }
  });
  await list(workerFixture);
  isFaulty = false;
  await clock.advance(2_000);
  await list({ ...workerFixture, workerId: 'i-other' });
  assert.is(directory.list().length, 2);
  await directory.close();
});

test.run();
