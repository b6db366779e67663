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

const computeWindows = (sums: readonly MinuteSum[]) => {
  const [burn] = computeBurn(sums, [objective], nowMinute);
  assert.ok(burn);
  return burn.windows;
};

test('the burn rate is 1 at the share of bad jobs that the target allows, regardless of other classes', () => {
  const [shortest] = computeWindows([createSum(nowMinute, 100, 1)]);
  assert.is(shortest?.bad, 1);
  assert.ok(Math.abs((shortest?.burnRate ?? 0) - 1) < 1e-9);
});

test('counts each sum in every window that includes its minute', () => {
  const sums = [0, 10, 100, 1_000].map((ago) => createSum(nowMinute - ago, 100, 1, `d${ago}`));
  assert.equal(
    computeWindows(sums).map(({ total }) => total),
    [100, 200, 300, 400],
  );
});

test('reports lost minutes as missing, and counts them neither as good nor as bad', () => {
  const sums = [createSum(nowMinute - 4, 100, 1), createSum(nowMinute, 100, 1)];
  const [shortest] = computeWindows(sums);
  assert.is(shortest?.missingMinutes, 3);
  assert.is(shortest?.total, 200);
});

test('has no burn rate and no budget for a fleet without jobs', () => {
  const [burn] = computeBurn([], [objective], nowMinute);
  assert.is(burn?.budgetLeft, null);
  assert.ok(burn?.windows.every(({ burnRate }) => burnRate === null));
});

test('counts a minute once if it was appended twice because an answer was lost', () => {
  const sums = [createSum(nowMinute, 100, 1), createSum(nowMinute, 100, 1)];
  assert.is(computeWindows(sums)[0]?.total, 100);
});

test.run();
