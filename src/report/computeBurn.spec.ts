import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { ServiceLevelObjective } from '../types/configuration.js';
import { computeBurn } from './computeBurn.js';
import type { MinuteSum } from '../types/report.js';

const objective: ServiceLevelObjective = { class: 'paying', target: 0.99, maxResponseOverIdeal: 3 };
const nowMinute = 10_000;

const createSum = (minute: number, total: number, late: number, incarnation = 'a'): MinuteSum => ({
  vmId: 'vm1',
  incarnation,
  minute,
  classes: [
    { class: 'paying', total, bad: late === 0 ? [] : [{ cause: 'late', count: late }] },
    { class: 'trial', total: 50, bad: [{ cause: 'overloaded', count: 50 }] },
  ],
});

const windowsOf = (sums: readonly MinuteSum[]) => {
  const [burn] = computeBurn(sums, [objective], nowMinute);
  assert.ok(burn);
  return burn.windows;
};

test('burns at 1 where the bad share is what the target allows, whatever another class does', () => {
  const [shortest] = windowsOf([createSum(nowMinute, 100, 1)]);
  assert.is(shortest?.bad, 1);
  assert.ok(Math.abs((shortest?.burnRate ?? 0) - 1) < 1e-9);
});

test('counts each sum in the windows that reach it', () => {
  const sums = [0, 10, 100, 1_000].map((ago) => createSum(nowMinute - ago, 100, 1, `d${ago}`));
  assert.equal(
    windowsOf(sums).map(({ total }) => total),
    [100, 200, 300, 400],
  );
});

test('shows lost minutes as missing, and neither as good nor as bad', () => {
  const sums = [createSum(nowMinute - 4, 100, 1), createSum(nowMinute, 100, 1)];
  const [shortest] = windowsOf(sums);
  assert.is(shortest?.missingMinutes, 3);
  assert.is(shortest?.total, 200);
});

test('does not take a fleet without jobs for a good one', () => {
  const [burn] = computeBurn([], [objective], nowMinute);
  assert.is(burn?.budgetLeft, null);
  assert.ok(burn?.windows.every(({ burnRate }) => burnRate === null));
});

test('counts a minute once that was appended twice after a lost answer', () => {
  const sums = [createSum(nowMinute, 100, 1), createSum(nowMinute, 100, 1)];
  assert.is(windowsOf(sums)[0]?.total, 100);
});

test.run();
