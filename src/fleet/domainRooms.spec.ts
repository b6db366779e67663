import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { FakeClock } from '../testing/fakeClock.js';
import type { DomainRoom } from '../types/domainRooms.js';
import { fleetHeartbeatSchema } from '../types/fleet.js';
import { isInvalidField } from '../types/tolerant.js';
import { DomainRooms } from './domainRooms.js';

const roomOf = (failureDomainId: string, values: Partial<DomainRoom> = {}): DomainRoom => ({
  failureDomainId,
  serviceId: 'fit',
  freeCpuMillis: 8_000,
  capacityCpuMillis: 64_000,
  waitingCoreMs: 0,
  ageMs: 100,
  ...values,
});

const createRooms = () => {
  const clock = FakeClock.create();
  const rooms = DomainRooms.create(clock);
  const record = (entries: readonly unknown[], ageMs = 0): number =>
    rooms.record({
      ...{ entries, ageMs, ownDomainId: 'own' },
      isKnownService: (serviceId) => serviceId === 'fit',
    });
  return { clock, rooms, record };
};

// Guards against plans that count on a domain which was cut off, and against its sums being passed on for ever.
test('entries age while they are passed on, and are unknown once they are too old', async () => {
  const { clock, rooms, record } = createRooms();
  record([roomOf('east')], 50);
  await clock.advance(1_000);
  assert.equal(rooms.list(), [roomOf('east', { ageMs: 1_150 })]);
  const next = createRooms();
  next.record(rooms.list(), 300);
  assert.is(next.rooms.find('east', 'fit').kind, 'known');
  await next.clock.advance(100);
  assert.is(next.rooms.find('east', 'fit').kind, 'unknown');
  assert.equal(next.rooms.list(), []);
  record([roomOf('west', { ageMs: 1_600 })]);
  assert.is(rooms.find('west', 'fit').kind, 'unknown');
});

// Guards against a sum that came on a detour and replaces a newer one.
test('of two entries the one that was right last counts, in whichever order they come', () => {
  const { rooms, record } = createRooms();
  const newer = roomOf('east', { freeCpuMillis: 1_000, ageMs: 20 });
  record([roomOf('east', { ageMs: 900 })]);
  record([newer]);
  record([roomOf('east', { ageMs: 10 })], 500);
  assert.equal(rooms.find('east', 'fit'), { kind: 'known', room: newer });
});

// Guards against invalid sums that plans rely on, and against valid ones that are dropped with them.
test('invalid entries are counted and ignored, and the others are kept', () => {
  const { rooms, record } = createRooms();
  const invalid: unknown[] = [
    'east',
    null,
    roomOf('west', { freeCpuMillis: 65_000 }),
    roomOf('west', { freeCpuMillis: -1 }),
    roomOf('west', { capacityCpuMillis: 1e12 }),
    roomOf('west', { waitingCoreMs: Infinity }),
    roomOf('west', { ageMs: -5 }),
    roomOf('west', { serviceId: 'unknown' }),
    { ...roomOf('west'), freeCpuMillis: '8000' },
  ];
  assert.is(record([...invalid, roomOf('east')]), invalid.length);
  assert.equal(rooms.list(), [roomOf('east')]);
});

// Guards against a daemon that believes others on its own domain, whose reports it has itself.
test('entries of the own failure domain are not kept', () => {
  const { rooms, record } = createRooms();
  assert.is(record([roomOf('own')]), 0);
  assert.equal(rooms.list(), []);
});

// Guards against a daemon of another version whose heartbeats are rejected as a whole.
test('a heartbeat is read without the new fields, and with ones of another form', () => {
  const heartbeat = {
    member: { incarnation: 'a', address: '127.0.0.1:1', failureDomainId: 'east', weight: 1 },
    ...{ routingVersion: 1, isLeaving: false, load: { workers: [] }, askedBatchIds: [] },
  };
  assert.is(fleetHeartbeatSchema.parse(heartbeat).domainRooms, undefined);
  assert.equal(fleetHeartbeatSchema.parse({ ...heartbeat, domainRooms: [1] }).domainRooms, [1]);
  for (const domainRooms of ['none', null, { east: 1 }, Array.from({ length: 2_000 }, () => 1)]) {
    const read = fleetHeartbeatSchema.parse({ ...heartbeat, domainRooms });
    assert.ok(isInvalidField(read.domainRooms));
    assert.equal(read.load, heartbeat.load);
  }
});

test.run();
