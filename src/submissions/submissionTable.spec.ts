import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createProblem } from '../errors/problem.js';
import { FakeClock } from '../testing/fakeClock.js';
import { epochGraceMs, SubmissionTable } from './submissionTable.js';
import type { SubmissionRecord } from './types.js';

const windowMs = 600_000;

const createTable = (clock: FakeClock, maxBytes = 1_000_000): SubmissionTable =>
  SubmissionTable.create({
    incarnation: 'a',
    clock,
    maxBytes,
    resubmissionWindowMs: () => windowMs,
  });

const refusal: SubmissionRecord = {
  state: 'refused',
  digest: '',
  problem: createProblem('stopping', 'Stopping.'),
};

test('opens an epoch every half window and closes the previous one after a grace time', () => {
  const clock = FakeClock.create();
  const table = createTable(clock);
  assert.is(table.lookUp(1, 'counter', 'k').kind, 'startable');
  clock.jump(windowMs / 2);
  assert.is(table.owner.epoch, 2);
  assert.is(table.lookUp(1, 'counter', 'k').kind, 'startable');
  clock.jump(epochGraceMs);
  assert.is(table.lookUp(1, 'counter', 'k').kind, 'never-started');
  assert.is(table.lookUp(2, 'counter', 'k').kind, 'startable');
  assert.is(table.lookUp(3, 'counter', 'k').kind, 'discarded');
});

test('keeps the records of a closed epoch for the resubmission window, then discards them', () => {
  const clock = FakeClock.create();
  const table = createTable(clock);
  table.setRecord(1, 'counter', 'k', refusal);
  clock.jump(windowMs / 2);
  assert.is(table.owner.epoch, 2);
  clock.jump(epochGraceMs + windowMs - 1);
  assert.is(table.lookUp(1, 'counter', 'k').kind, 'known');
  assert.is(table.lookUp(1, 'counter', 'other').kind, 'never-started');
  clock.jump(1);
  assert.is(table.lookUp(1, 'counter', 'k').kind, 'discarded');
  assert.is(table.lookUp(1, 'counter', 'other').kind, 'discarded');
});

test('stays within its memory limit and never reports a discarded key as startable', () => {
  const clock = FakeClock.create();
  const maxBytes = 100_000;
  const table = createTable(clock, maxBytes);
  for (let i = 0; i < 2_000; i += 1) {
    table.setRecord(table.owner.epoch, 'counter', `k${i}`, refusal);
    assert.ok(table.bytes <= maxBytes + 10_000);
  }
  assert.ok(table.oldestEpoch > 1);
  assert.is(table.lookUp(1, 'counter', 'k0').kind, 'discarded');
});

test('reports unknown keys as never started after a freeze', () => {
  const table = createTable(FakeClock.create());
  table.setRecord(1, 'counter', 'k', refusal);
  table.freeze();
  assert.is(table.lookUp(1, 'counter', 'k').kind, 'known');
  assert.is(table.lookUp(1, 'counter', 'other').kind, 'never-started');
});

test.run();
