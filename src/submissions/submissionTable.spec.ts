import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createProblem } from '../errors/problem.js';
import { FakeClock } from '../testing/fakeClock.js';
import { epochGraceMs, SubmissionTable } from './submissionTable.js';
import type { SubmissionRecord } from './types.js';

const windowMs = 600_000;

const createTable = (clock: FakeClock, maxBytes = 1_000_000): SubmissionTable =>
  SubmissionTable.create({ incarnation: 'a', clock, maxBytes, windowMs: () => windowMs });

const refusal: SubmissionRecord = {
  state: 'refused',
  digest: '',
  problem: createProblem('stopping', 'Stopping.'),
};

test('opens an epoch every half window and closes the one before after a grace', () => {
  const clock = FakeClock.create();
  const table = createTable(clock);
  assert.is(table.find(1, 'counter', 'k').kind, 'absent');
  clock.jump(windowMs / 2);
  assert.is(table.owner.epoch, 2);
  assert.is(table.find(1, 'counter', 'k').kind, 'absent');
  clock.jump(epochGraceMs);
  assert.is(table.find(1, 'counter', 'k').kind, 'never-started');
  assert.is(table.find(2, 'counter', 'k').kind, 'absent');
  assert.is(table.find(3, 'counter', 'k').kind, 'forgotten');
});

test('keeps a closed epoch for the window and drops it whole', () => {
  const clock = FakeClock.create();
  const table = createTable(clock);
  table.remember(1, 'counter', 'k', refusal);
  clock.jump(windowMs / 2);
  assert.is(table.owner.epoch, 2);
  clock.jump(epochGraceMs + windowMs - 1);
  assert.is(table.find(1, 'counter', 'k').kind, 'known');
  assert.is(table.find(1, 'counter', 'other').kind, 'never-started');
  clock.jump(1);
  assert.is(table.find(1, 'counter', 'k').kind, 'forgotten');
  assert.is(table.find(1, 'counter', 'other').kind, 'forgotten');
});

test('stays within its memory and never calls a dropped key absent', () => {
  const clock = FakeClock.create();
  const maxBytes = 100_000;
  const table = createTable(clock, maxBytes);
  for (let i = 0; i < 2_000; i += 1) {
    table.remember(table.owner.epoch, 'counter', `k${i}`, refusal);
    assert.ok(table.bytes <= maxBytes + 10_000);
  }
  assert.ok(table.oldestEpoch > 1);
  assert.is(table.find(1, 'counter', 'k0').kind, 'forgotten');
});

test('starts nothing after its freeze', () => {
  const table = createTable(FakeClock.create());
  table.remember(1, 'counter', 'k', refusal);
  table.freeze();
  assert.is(table.find(1, 'counter', 'k').kind, 'known');
  assert.is(table.find(1, 'counter', 'other').kind, 'never-started');
});

test.run();
