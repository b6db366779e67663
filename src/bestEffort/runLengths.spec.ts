import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { SeededRandom } from '../testing/seededRandom.js';
import { RunLengths } from './runLengths.js';

test('the declared run time is believed until tasks were observed', () => {
  const lengths = RunLengths.create();
  assert.is(lengths.predictMs('r', { declaredMs: 200, deadlineMs: 1_500 }), 200);
});

test('a deadline that tells more than the declared time is learned', () => {
  const lengths = RunLengths.create();
  const random = SeededRandom.create(7);
  const draw = () => {
    const trueMs = 100 + 400 * random.next();
    const declaredMs = trueMs * (0.4 + 1.6 * random.next());
    return { trueMs, hints: { declaredMs, deadlineMs: 1_700 + 4.8 * trueMs } };
  };
  for (let i = 0; i < 200; i += 1) {
    const { trueMs, hints } = draw();
    lengths.observe('r', hints, trueMs * (0.9 + 0.2 * random.next()));
  }
  for (let i = 0; i < 50; i += 1) {
    const { trueMs, hints } = draw();
    const ratio = lengths.predictMs('r', hints) / trueMs;
    assert.ok(ratio > 0.85 && ratio < 1.15, `predicted ${ratio.toFixed(2)} of the true time`);
  }
});

test('a rare route learns from the others, and from what other daemons have seen', () => {
  const here = RunLengths.create();
  const there = RunLengths.create();
  const random = SeededRandom.create(9);
  const noise = () => 0.55 + 0.9 * random.next();
  const hintsOf = (trueMs: number) => ({
    declaredMs: trueMs * (0.4 + 1.6 * random.next()),
    deadlineMs: 1_680 + 4.8 * trueMs,
  });
  for (let i = 0; i < 400; i += 1) {
    const trueMs = 40 + 250 * random.next();
    there.observe('common', hintsOf(trueMs), trueMs * noise());
  }
  here.hear('there', there.share());
  const ratio = here.predictMs('rare', hintsOf(900)) / 900;
  assert.ok(ratio > 0.75 && ratio < 1.3, `predicted ${ratio.toFixed(2)} of the true time`);
});

test('a deadline that tells nothing leaves the declared time, corrected by its usual error', () => {
  const lengths = RunLengths.create();
  const random = SeededRandom.create(8);
  for (let i = 0; i < 200; i += 1) {
    const declaredMs = 50 + 300 * random.next();
    lengths.observe('r', { declaredMs, deadlineMs: 1_500 }, declaredMs * 1.5);
  }
  const predicted = lengths.predictMs('r', { declaredMs: 200, deadlineMs: 1_500 });
  assert.ok(Math.abs(predicted - 300) < 15, String(predicted));
});

test.run();
