import { test } from 'uvu';
import * as assert from 'uvu/assert';
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

test.run();
