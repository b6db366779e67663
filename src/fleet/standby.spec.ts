import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Member } from '../types/fleet.js';
import { isNeededAsDispatcher } from './standby.js';

const member = (weight: number): Member => ({
  incarnation: '',
  address: '',
  failureDomainId: 'a',
  weight,
});
const daemons = (count: number, weight: number): Member[] =>
  Array.from({ length: count }, () => member(weight));

test('daemons of equal size all dispatch', () => {
  assert.ok(isNeededAsDispatcher(member(0.7), daemons(9, 0.7)));
  assert.ok(isNeededAsDispatcher(member(0.7), []));
});

test('a small daemon does not dispatch if the large ones have half of the total weight', () => {
  const others = [...daemons(2, 1.35), ...daemons(2, 0.8), ...daemons(5, 0.25)];
  assert.not.ok(isNeededAsDispatcher(member(0.25), others));
  assert.ok(isNeededAsDispatcher(member(1.35), others));
  assert.ok(isNeededAsDispatcher(member(0.8), others));
});

test('small daemons dispatch too if there are too few large ones', () => {
  assert.ok(isNeededAsDispatcher(member(0.25), [member(0.8), ...daemons(5, 0.25)]));
  assert.ok(isNeededAsDispatcher(member(0.25), daemons(5, 0.25)));
});

test.run();
