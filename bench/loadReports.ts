/**
 * `npm run bench:load-reports`: measures the processor time of the load in a heartbeat, and computes from serialized messages
 * the bytes that domain rooms add for each daemon and second in fleets of three sizes.
 */
import { FleetView } from '../src/bestEffort/fleetView.js';
import { createDispatcherFixture, patientBatch } from '../src/testing/dispatcherFixture.js';
import { FakeClock } from '../src/testing/fakeClock.js';
import { toDomainRoom } from '../src/fleet/domainRooms.js';
import { memberLoadSchema } from '../src/types/fleet.js';
import type { MemberLoad } from '../src/types/fleet.js';
import { heartbeatTickMs } from '../src/fleet/requesterTimes.js';

const repetitions = 2_000;
const warmUpRepetitions = 3_000;
/** Calls that are measured with a pause before each, and as many before them; the tasks wait for longer. */
const computations = 500;
/** Longer than a computed load is reused, in milliseconds. */
const reusePauseMs = 3;
const workersPerDaemon = 6;
const contactsPerDomain = 2;
/** Services of a fleet whose capacity is stated. */
const serviceCount = 3;
const printLine = (line: string): void => void process.stdout.write(`${line}\n`);
const bytesOf = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

/** Measures a function, in microseconds for each call. */
const measureMicros = (call: () => unknown): number => {
  for (let i = 0; i < warmUpRepetitions; i += 1) {
    call();
  }
  const startedAtMs = performance.now();
  for (let i = 0; i < repetitions; i += 1) {
    call();
  }
  return ((performance.now() - startedAtMs) * 1_000) / repetitions;
};

/** Like `measureMicros`, with a pause on the fake clock before each call, after which nothing is reused. */
const measureComputation = async (call: () => unknown, clock: FakeClock): Promise<number> => {
  let totalMs = 0;
  for (let i = 0; i < 2 * computations; i += 1) {
    await clock.advance(reusePauseMs);
    const startedAtMs = performance.now();
    call();
    totalMs += i < computations ? 0 : performance.now() - startedAtMs;
  }
  return (totalMs * 1_000) / computations;
};

/** A dispatcher whose workers are busy, with tasks that wait. */
const createBusyDispatcher = async (waitingCount: number) => {
  const fixture = await createDispatcherFixture({ workerCount: workersPerDaemon, runMs: 10_000 });
  const batch = patientBatch(workersPerDaemon * 2 + waitingCount, { estimatedMs: 10_000 });
  void fixture.dispatcher.run('vm', batch);
  await fixture.clock.advance(100);
  return fixture;
};

const measureMessages = async (waitingCount: number): Promise<MemberLoad> => {
  const { dispatcher, clock, records } = await createBusyDispatcher(waitingCount);
  const computeMicros = await measureComputation(() => dispatcher.load(), clock);
  const load = dispatcher.load();
  const view = FleetView.create({
    ...{ clock, ownId: 'own', ownLoad: () => dispatcher.load() },
    findWorker: (workerId) => records.find((record) => record.workerId === workerId),
  });
  const readMicros = measureMicros(() => memberLoadSchema.parse(JSON.parse(JSON.stringify(load))));
  const recordMicros = measureMicros(() => view.recordLoad('other', load, 'near'));
  printLine(
    `${waitingCount} tasks wait: computing the load ${computeMicros.toFixed(1)} us, ` +
      `writing and reading it ${readMicros.toFixed(1)} us, ` +
      `recording it ${recordMicros.toFixed(2)} us; ${bytesOf(load)} bytes`,
  );
  return load;
};

const printFleet = (daemons: number, domains: number, load: MemberLoad): void => {
  const clock = FakeClock.create();
  const view = FleetView.create({
    ...{ clock, ownId: 'own', ownLoad: () => load },
    findWorker: () => undefined,
  });
  const room = {
    ...toDomainRoom('augsburg', 'service-of-a-customer', view.serviceLoad('')),
    ...{
      freeCpuMillis: 1_234_567,
      capacityCpuMillis: 2_345_678,
      waitingCoreMs: 345_678,
      ageMs: 543,
    },
  };
  // The receiver's own domain is left out. Either side of an exchange sends a heartbeat; both sides choose contacts.
  const rooms = Array.from({ length: (domains - 1) * serviceCount }, () => room);
  const exchangesPerSecond = ((domains - 1) * contactsPerDomain * 2 * 1_000) / heartbeatTickMs;
  const roomBytes = exchangesPerSecond * bytesOf({ domainRooms: rooms });
  printLine(
    `${daemons} daemons in ${domains} domains: domainRooms ${bytesOf({ domainRooms: rooms })} bytes, at most ` +
      `${exchangesPerSecond.toFixed(0)} heartbeats/s to other domains, ${(roomBytes / 1_000).toFixed(1)} KB/s`,
  );
};

const load = await measureMessages(10);
await measureMessages(0);
await measureMessages(100);
printFleet(30, 3, load);
printFleet(97, 5, load);
printFleet(300, 7, load);
process.exit(0);
