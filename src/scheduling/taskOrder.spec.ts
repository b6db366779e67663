import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { nextRaiseMs, rankAt } from './taskOrder.js';

const leastUrgent = { priority: 2, queuedAtMs: 0, startByMs: 1_000, isLate: false };

// Guards against a less urgent route that starves while more urgent tasks keep arriving.
test('a task rises step by step to the most urgent rank before its latest start', () => {
  const ranks: number[] = [rankAt(leastUrgent, 0)];
  for (let nowMs = nextRaiseMs(leastUrgent, 0); nowMs < Infinity;) {
    ranks.push(rankAt(leastUrgent, nowMs));
    assert.ok(nowMs < leastUrgent.startByMs);
    nowMs = nextRaiseMs(leastUrgent, nowMs);
  }
  assert.equal(ranks, [2, 1, 0]);
});

// Guards against late tasks that take capacity from tasks that can still end in time.
test('a late task goes behind tasks of every priority, and does not rise', () => {
  const late = { ...leastUrgent, priority: 0, isLate: true };
  assert.ok(rankAt(late, 5_000) > rankAt({ ...leastUrgent, priority: 1_000 }, 0));
  assert.is(nextRaiseMs(late, 0), Infinity);
});

test.run();
