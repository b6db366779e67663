import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { noMetrics } from '../adapters/system/noMetrics.js';
import { FleetView } from '../bestEffort/fleetView.js';
import type { Logger } from '../ports/logger.js';
import { RoutingStore } from '../routing/routingStore.js';
import { FakeClock } from '../testing/fakeClock.js';
import { silentLogger } from '../testing/silentLogger.js';
import type { FleetHeartbeat, Member } from '../types/fleet.js';
import { RoomStatements } from './roomStatements.js';

const memberOf = (failureDomainId: string): Member => ({
  ...{ incarnation: `of-${failureDomainId}`, address: '127.0.0.1:1', failureDomainId, weight: 1 },
});

/** A daemon of a failure domain with one worker of 32 cores, whose id is that of the domain. */
const createDaemon = (clock: FakeClock, failureDomainId: string, freeCpuMillis: number) => {
  const lines: string[] = [];
  const write = (sentence: string): void => void lines.push(sentence);
  const logger: Logger = { ...silentLogger, info: write, warn: write };
  const routing = RoutingStore.create();
  const services = [{ serviceId: 'fit', guardsCapacity: true }];
  routing.apply({ version: 1, routes: [], services, maxBodyBytes: 1 });
  const worker = {
    workerId: failureDomainId,
    free: { cpuMillis: freeCpuMillis, memoryMb: 1, accelerators: 0 },
    ...{ slowness: 1, isOpen: true, releases: [] },
  };
  const own = memberOf(failureDomainId);
  const view = FleetView.create({
    clock,
    ownId: own.incarnation,
    ownLoad: () => ({ workers: [worker] }),
    findWorker: (workerId) => ({
      ...{ workerId, address: '127.0.0.1:2', serviceId: 'fit', labels: [], state: 'ready' },
      failureDomainId: workerId,
      capacity: { cpuMillis: 32_000, memoryMb: 1, accelerators: 0 },
    }),
  });
  const statements = RoomStatements.create({
    ...{ clock, logger, metrics: noMetrics, own, routing, view },
  });
  const heartbeatTo = (receiver: string): FleetHeartbeat => ({
    ...{ member: own, routingVersion: 1, isLeaving: false, askedBatchIds: [] },
    load: { workers: [worker] },
    domainRooms: statements.compose(memberOf(receiver)),
  });
  return { heartbeatTo, lines, own, statements, view, worker };
};

// Guards against plans that go on counting on a failure domain that was cut off, or never hear of one.
test('free capacity is passed on across domains, and expires when its domain is cut off', async () => {
  const clock = FakeClock.create();
  const [east, west, south] = [
    createDaemon(clock, 'east', 8_000),
    createDaemon(clock, 'west', 0),
    createDaemon(clock, 'south', 32_000),
  ];
  west.statements.receive(east.heartbeatTo('west'), 10);
  south.statements.receive(west.heartbeatTo('south'), 20);
  const heard = south.view.rooms.find('east', 'fit');
  assert.ok(heard.kind === 'known' && heard.room.freeCpuMillis === 8_000);
  assert.is(heard.room.ageMs, 30);
  await clock.advance(1_400);
  west.statements.receive(south.heartbeatTo('west'), 0);
  assert.equal(
    west.view.rooms.list().map(({ failureDomainId, ageMs }) => [failureDomainId, ageMs]),
    [
      ['east', 1_410],
      ['south', 0],
    ],
  );
  await clock.advance(200);
  west.statements.compose(south.own);
  assert.is(west.view.rooms.find('east', 'fit').kind, 'unknown');
  assert.equal(west.lines, [
    'The free capacity of a failure domain is known.',
    'The free capacity of a failure domain is known.',
    'The free capacity of a failure domain is no longer known.',
  ]);
});

// Guards against entries that grow with the daemons of a domain, and against a domain that is told of itself.
test('nothing is stated within a domain, nor of the receiver to itself', () => {
  const clock = FakeClock.create();
  const east = createDaemon(clock, 'east', 8_000);
  const west = createDaemon(clock, 'west', 8_000);
  west.statements.receive(east.heartbeatTo('west'), 0);
  assert.equal(west.statements.compose(memberOf('west')), []);
  assert.equal(west.statements.compose(undefined), []);
  assert.equal(
    west.statements.compose(east.own).map(({ failureDomainId }) => failureDomainId),
    ['west'],
  );
});

// Guards against plans that wait at a full domain, or skip one of which a newer report shows free cores.
test('a domain has room by its sum, or by a newer report of a dispatcher there', async () => {
  const clock = FakeClock.create();
  const west = createDaemon(clock, 'west', 0);
  const full = createDaemon(clock, 'full', 0);
  const free = createDaemon(clock, 'free', 16_000);
  const silent = createDaemon(clock, 'silent', 32_000);
  for (const { own, worker, heartbeatTo } of [full, free]) {
    west.view.recordLoad(own.incarnation, { workers: [worker] }, 'far');
    west.statements.receive(heartbeatTo('west'), 0);
  }
  assert.equal(west.view.farDomainsWithRoom('fit', 4_000), ['free']);
  assert.equal(west.view.farDomainsWithRoom('fit', 17_000), []);
  // A dispatcher of an earlier version: no sum, but a report of its own.
  west.view.recordLoad(silent.own.incarnation, { workers: [silent.worker] }, 'far');
  assert.equal(west.view.farDomainsWithRoom('fit', 4_000), ['silent', 'free']);
  await clock.advance(50);
  const freed = { ...full.worker, free: { ...full.worker.free, cpuMillis: 24_000 } };
  west.view.recordLoad(full.own.incarnation, { workers: [freed] }, 'far');
  assert.equal(west.view.farDomainsWithRoom('fit', 4_000), ['silent', 'full', 'free']);
  await clock.advance(2_000);
  assert.equal(west.view.farDomainsWithRoom('fit', 4_000), []);
});

// Guards against a log that fills with one line for each heartbeat of a faulty daemon.
test('fields that are not valid are logged once, and the valid entries count', async () => {
  const clock = FakeClock.create();
  const east = createDaemon(clock, 'east', 8_000);
  const west = createDaemon(clock, 'west', 8_000);
  const heartbeat = east.heartbeatTo('west');
  const faulty: FleetHeartbeat = {
    ...heartbeat,
    load: { workers: [], waiting: { kind: 'invalid' } },
    domainRooms: [...east.statements.compose(west.own), { serviceId: 7 }],
  };
  west.statements.receive(faulty, 0);
  west.statements.receive({ ...heartbeat, domainRooms: { kind: 'invalid' } }, 0);
  assert.is(west.view.rooms.find('east', 'fit').kind, 'known');
  const ignoredLines = () => west.lines.filter((line) => line.startsWith('Fields'));
  assert.is(ignoredLines().length, 1);
  await clock.advance(10_000);
  west.statements.receive(faulty, 0);
  assert.is(ignoredLines().length, 2);
});

test.run();
