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
const several = (count: number, weight: number): Member[] =>
  Array.from({ length: count }, () => member(weight));

test('daemons of equal size all dispatch', () => {
  assert.ok(isNeededAsDispatcher(member(0.7), several(9, 0.7)));
  assert.ok(isNeededAsDispatcher(member(0.7), []));
});

test('a small daemon leaves dispatching to large ones that can bear it', () => {
  const near = [...several(2, 1.35), ...several(2, 0.8), ...several(5, 0.25)];
  assert.not.ok(isNeededAsDispatcher(member(0.25), near));
  assert.ok(isNeededAsDispatcher(member(1.35), near));
  assert.ok(isNeededAsDispatcher(member(0.8), near));
});

test('with too few large ones left, the small ones dispatch too', () => {
  assert.ok(isNeededAsDispatcher(member(0.25), [member(0.8), ...several(5, 0.25)]));
  assert.ok(isNeededAsDispatcher(member(0.25), several(5, 0.25)));
});

test.run();
