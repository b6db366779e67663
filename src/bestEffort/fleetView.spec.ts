import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { FakeClock } from '../testing/fakeClock.js';
import type { MemberLoad } from '../types/fleet.js';
import type { WorkerRecord } from '../types/workers.js';
import { FleetView } from './fleetView.js';

const loadOf = (...freeCpuMillis: number[]): MemberLoad => ({
  workers: freeCpuMillis.map((cpuMillis, index) => ({
    workerId: `w-${index}`,
    free: { cpuMillis, memoryMb: 1_000, accelerators: 0 },
    slowness: 1,
    isOpen: true,
    releases: [],
  })),
});

const record = (workerId: string): WorkerRecord => ({
  workerId,
  address: '127.0.0.1:1',
  serviceId: 'fit',
  failureDomainId: 'east',
  labels: [],
  capacity: { cpuMillis: 32_000, memoryMb: 1_000, accelerators: 0 },
  state: 'ready',
});

const createView = () => {
  const clock = FakeClock.create();
  const view = FleetView.create({
    clock,
    ownId: 'own',
    ownLoad: () => ({ workers: [] }),
    findWorker: record,
  });
  const freeCpuMillis = () =>
    view.workers('fit', 'fleet', 0).map(({ availability }) => availability.free);
  return { clock, view, freeCpuMillis };
};

// Guards against a held-up message that undoes what a newer one has told.
test('a load that is older than the known one is ignored', async () => {
  const { clock, view, freeCpuMillis } = createView();
  await clock.advance(100);
  view.recordLoad('other', loadOf(4_000), 'near');
  view.recordLoad('other', loadOf(8_000), 'near', 50);
  assert.equal(freeCpuMillis(), [4_000]);
});

// Guards against admission by capacity that is out of reach, was reported long ago, or is promised to tasks on their way.
test('the load of a service is that of its own failure domain, by recent reports, less what was sent', async () => {
  const { clock, view } = createView();
  view.recordLoad('expired', loadOf(1_000), 'near');
  await clock.advance(900);
  view.recordLoad('far', loadOf(2_000), 'far');
  view.recordLoad('older', loadOf(4_000), 'near', 300);
  view.recordLoad('newer', loadOf(8_000, 16_000), 'near');
  view.reserve({ dispatcherId: 'newer', workerId: 'w-0', cpuMillis: 9_000, runMs: 100 });
  await clock.advance(200);
  assert.equal(view.serviceLoad('fit'), {
    freeCpuMillis: 4_000 + 16_000,
    capacityCpuMillis: 3 * 32_000,
  });
  assert.is(view.serviceLoad('fit', 3_000).freeCpuMillis, 3_000 + 15_000);
  assert.is(view.serviceLoad('unknown').capacityCpuMillis, 0);
});

test.run();
