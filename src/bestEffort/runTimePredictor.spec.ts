import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { lengthSumsSchema } from '../types/learned.js';
import type { LengthSums } from '../types/learned.js';
import { SeededRandom } from '../testing/seededRandom.js';
import { RunTimePredictor } from './runTimePredictor.js';

test('the prediction is the declared run time until a task is observed', () => {
  const predictor = RunTimePredictor.create();
  assert.is(predictor.predictMs('r', { declaredMs: 200, deadlineMs: 1_500 }), 200);
});

test('a deadline that predicts the run time better than the declared one is learned', () => {
  const predictor = RunTimePredictor.create();
  const random = SeededRandom.create(7);
  const draw = () => {
    const trueMs = 100 + 400 * random.next();
    const declaredMs = trueMs * (0.4 + 1.6 * random.next());
    return { trueMs, hints: { declaredMs, deadlineMs: 1_700 + 4.8 * trueMs } };
  };
  for (let i = 0; i < 200; i += 1) {
    const { trueMs, hints } = draw();
    predictor.observe('r', hints, trueMs * (0.9 + 0.2 * random.next()));
  }
  for (let i = 0; i < 50; i += 1) {
    const { trueMs, hints } = draw();
    const ratio = predictor.predictMs('r', hints) / trueMs;
    assert.ok(
      ratio > 0.85 && ratio < 1.15,
      `the predicted run time is ${ratio.toFixed(2)} of the true one`,
    );
  }
});

test('a route without observations learns from other routes and other daemons', () => {
  const local = RunTimePredictor.create();
  const remote = RunTimePredictor.create();
  const random = SeededRandom.create(9);
  const noise = () => 0.55 + 0.9 * random.next();
  const hintsOf = (trueMs: number) => ({
    declaredMs: trueMs * (0.4 + 1.6 * random.next()),
    deadlineMs: 1_680 + 4.8 * trueMs,
  });
  for (let i = 0; i < 400; i += 1) {
    const trueMs = 40 + 250 * random.next();
    remote.observe('common', hintsOf(trueMs), trueMs * noise());
  }
  local.recordPeerSums('remote', remote.share());
  const ratio = local.predictMs('rare', hintsOf(900)) / 900;
  assert.ok(
    ratio > 0.75 && ratio < 1.3,
    `the predicted run time is ${ratio.toFixed(2)} of the true one`,
  );
});

test('with a constant deadline, the declared run time is corrected by its usual error', () => {
  const predictor = RunTimePredictor.create();
  const random = SeededRandom.create(8);
  for (let i = 0; i < 200; i += 1) {
    const declaredMs = 50 + 300 * random.next();
    predictor.observe('r', { declaredMs, deadlineMs: 1_500 }, declaredMs * 1.5);
  }
  const predicted = predictor.predictMs('r', { declaredMs: 200, deadlineMs: 1_500 });
  assert.ok(Math.abs(predicted - 300) < 15, String(predicted));
});

// Guards against saved or shared sums that spoil the predictions of every route.
test('unusable sums of another daemon or writer leave the predictions as they are', () => {
  const hints = { declaredMs: 200, deadlineMs: 1_500 };
  const odd: readonly Partial<LengthSums>[] = [
    { products: Array<number>(9).fill(1e308) },
    { products: Array<number>(9).fill(-1e9) },
    { products: Array<number>(9).fill(NaN) },
    { targets: [Infinity, 0, 0] },
    { targets: [0, -1e12, 0] },
    { observations: 1e308 },
  ];
  for (const fields of odd) {
    const predictor = RunTimePredictor.create();
    const sums = { routeId: 'r', observations: 5, products: Array<number>(9).fill(0) };
    const both = [{ ...sums, targets: [0, 0, 0], ...fields }];
    for (let i = 0; i < 8; i += 1) {
      predictor.recordPeerSums(`peer-${i}`, both);
      predictor.restoreSavedSums(`saved-${i}`, both);
    }
    assert.is(predictor.predictMs('r', hints), 200, JSON.stringify(fields));
  }
});

// Guards against a daemon that sends sums which every other one rejects, as they are not numbers any more.
test('an observation with hints beyond measure leaves the own sums finite', () => {
  const predictor = RunTimePredictor.create();
  predictor.observe('r', { declaredMs: 200, deadlineMs: 1_500 }, 180);
  predictor.observe('r', { declaredMs: 200, deadlineMs: 1e300 }, 180);
  const [sums] = predictor.share();
  assert.ok(sums && lengthSumsSchema.safeParse(JSON.parse(JSON.stringify(sums))).success);
  assert.ok(Number.isFinite(predictor.predictMs('r', { declaredMs: 200, deadlineMs: 1_500 })));
});

test.run();
