import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { CapacityProfile } from './capacityProfile.js';

test('a task starts when enough cores have become free', () => {
  const profile = CapacityProfile.create(4_000, [
    { inMs: 80, cpuMillis: 14_000 },
    { inMs: 30, cpuMillis: 6_000 },
  ]);
  assert.is(profile.startsInMs(4_000), 0);
  assert.is(profile.startsInMs(10_000), 30);
  assert.is(profile.startsInMs(20_000), 80);
  assert.is(profile.startsInMs(40_000), Infinity);
});

test('reserved cores are free again after the expected run time', () => {
  const profile = CapacityProfile.create(20_000, []);
  profile.reserve(14_000, 50);
  assert.is(profile.startsInMs(6_000), 0);
  assert.is(profile.startsInMs(14_000), 50);
  profile.reserve(14_000, 100);
  assert.is(profile.startsInMs(6_000), 50);
  assert.is(profile.startsInMs(14_000), 150);
});

test.run();
