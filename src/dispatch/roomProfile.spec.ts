import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { RoomProfile } from './roomProfile.js';

test('a task starts when enough cores have become free', () => {
  const room = RoomProfile.create(4_000, [
    { inMs: 80, cpuMillis: 14_000 },
    { inMs: 30, cpuMillis: 6_000 },
  ]);
  assert.is(room.startsInMs(4_000), 0);
  assert.is(room.startsInMs(10_000), 30);
  assert.is(room.startsInMs(20_000), 80);
  assert.is(room.startsInMs(40_000), Infinity);
});

test('what a task takes is free again when it has run', () => {
  const room = RoomProfile.create(20_000, []);
  room.take(14_000, 50);
  assert.is(room.startsInMs(6_000), 0);
  assert.is(room.startsInMs(14_000), 50);
  room.take(14_000, 100);
  assert.is(room.startsInMs(6_000), 50);
  assert.is(room.startsInMs(14_000), 150);
});

test.run();
