import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { findOverlaps } from './standInRun.js';
import type { RunOutcome, StartRecord } from './standInRun.js';

const runOf = (
  workerId: string,
  startedAtMs: number,
  endedAtMs: number | undefined,
  outcome: RunOutcome | undefined,
): StartRecord => ({
  workerId,
  bornMs: 1,
  task: 'j.0.0.0',
  run: 1,
  token: 1,
  startedAtMs,
  endedAtMs,
  outcome,
});

// Guards against a judge that takes a run for ended when its stop was ordered, or passes over short overlaps.
test('a run that is being stopped overlaps with the next one, however short', () => {
  const first = runOf('i-0', 0, 100, 'stopped');
  const second = runOf('i-1', 99.5, undefined, undefined);
  assert.equal(findOverlaps([second, first], 300), [{ first, second, durationMs: 0.5 }]);
});

// Guards against a judge that counts the runs of a worker that is down.
test('runs that ended with their worker do not overlap with later ones', () => {
  const crashed = runOf('i-0', 0, 50, 'crashed');
  assert.equal(findOverlaps([crashed, runOf('i-0', 50, 90, 'done')], 300), []);
});

// Guards against a judge that compares each run only with the one before.
test('a long run overlaps with each later one that begins meanwhile', () => {
  const long = runOf('i-0', 0, undefined, undefined);
  const overlaps = findOverlaps(
    [long, runOf('i-1', 10, 20, 'done'), runOf('i-2', 30, 40, 'done')],
    99,
  );
  assert.equal(
    overlaps.map(({ durationMs }) => durationMs),
    [10, 10],
  );
});

test.run();
