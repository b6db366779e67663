import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { WorkerRecord } from '../../types/workers.js';
import { FakeClock } from '../fakeClock.js';
import { ModelWorker } from './modelWorker.js';

const record: WorkerRecord = {
  ...{ workerId: 'i-0', address: '10.0.1.1:8080', serviceId: 'fit', failureDomainId: 'east' },
  ...{ state: 'ready', capacity: { cpuMillis: 32_000, memoryMb: 65_536, accelerators: 0 } },
  labels: ['a'],
};

/** Creates a worker, and records what it writes to the store. */
const createWorker = (): {
  worker: ModelWorker;
  time: FakeClock;
  written: (WorkerRecord | undefined)[];
} => {
  const time = FakeClock.create(1);
  const written: (WorkerRecord | undefined)[] = [];
  const worker = ModelWorker.create({
    ...{ time, record, clockRate: 1, stopMs: 30, guardsCapacity: true },
    onRun: () => undefined,
    publish: (_, entry) => void written.push(entry),
  });
  return { worker, time, written };
};

// Guards against a model in which every worker comes back as it was, so that no kind is ever missing.
test('a worker may be of another kind and size in its next lifetime, and stays so', () => {
  const { worker, written } = createWorker();
  worker.crash('refused');
  worker.start({ label: 'b', cpuMillis: 8_000 });
  worker.crash('refused');
  worker.start();
  assert.equal(
    written.map((entry) => [entry?.labels, entry?.capacity.cpuMillis]),
    [
      [['a'], 32_000],
      [['b'], 8_000],
      [['b'], 8_000],
    ],
  );
});

// Guards against a model in which only workers that are down are missing in the list.
test('the entry of a worker that does not reach the store expires while the worker is up', () => {
  const { worker, written } = createWorker();
  worker.loseStore();
  worker.drain();
  assert.is(written.length, 2);
  assert.is(written[1], undefined);
  assert.ok(worker.life !== undefined);
  worker.reachStore();
  assert.is(written[2]?.state, 'ready');
});

// Guards against a model in which every worker keeps its id, so that no order is ever refused by a later lifetime.
test('a worker that takes a new id is listed by it, and by the earlier one until that entry expires', async () => {
  const { worker, time, written } = createWorker();
  worker.crash('refused');
  worker.start({ takesNewId: true });
  assert.equal(
    written.map((entry) => [entry?.workerId, entry?.address]),
    [
      ['i-0', record.address],
      ['i-0-2', record.address],
    ],
  );
  assert.is(worker.workerId, 'i-0');
  assert.is(worker.presentId, 'i-0-2');
  await time.advance(4_600);
  assert.is(written.length, 3);
  assert.is(written[2], undefined);
  assert.ok(worker.life !== undefined);
});

test.run();
