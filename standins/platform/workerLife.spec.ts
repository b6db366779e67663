import { setTimeout as sleep } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { StartRecord } from './standInRun.js';
import { WorkerLife } from './workerLife.js';

const order = (runId: number, fields = {}) => ({
  task: 'j.0.0.0',
  runId,
  taskSpec: JSON.stringify({ runMs: 5_000, cpu: 1 }),
  deadlineMs: 900,
  ...fields,
});

const createLife = (fields: { readonly clockRate?: number } = {}) => {
  const starts: StartRecord[] = [];
  const life = WorkerLife.create({
    workerId: 'i-0',
    cpu: 8,
    slowness: 1,
    clockRate: 1,
    stopMs: 40,
    onStart: (record) => void starts.push(record),
    onCrashingTask: () => undefined,
    ...fields,
  });
  return { life, starts };
};

// Guards against a stand-in whose stops take no time, beside which no overlap shows.
test('a run that is stopped goes on for the time of a stop, and can not start again', async () => {
  const { life, starts } = createLife();
  assert.is(life.start(order(1), 'as-specified'), undefined);
  life.stop(order(1));
  life.stop(order(2));
  const during = await life.hold(order(0));
  assert.equal(during, { born: life.bornMs, running: [['j.0.0.0', 1, '', 50]], finished: [] });
  await sleep(80);
  assert.is(starts[0]?.outcome, 'stopped');
  assert.is(life.start(order(2), 'as-specified'), 'old');
  life.crash();
});

// Guards against a stand-in that measures its lease with the clock of the test.
test('a run lapses by the clock of its worker', async () => {
  const { life, starts } = createLife({ clockRate: 0.5 });
  life.start(order(1, { deadlineMs: 100 }), 'as-specified');
  await sleep(130);
  assert.is(starts[0]?.outcome, undefined);
  await sleep(150);
  assert.is(starts[0]?.outcome, 'lapsed');
  life.crash();
});

// Guards against a stand-in whose next life still knows the token, the clock or the ends of the last one.
test('a crash ends the runs, and the next life knows nothing of before', async () => {
  const first = createLife();
  assert.ok(first.life.acceptsToken(9));
  first.life.start(order(5), 'as-specified');
  await sleep(30);
  first.life.crash();
  assert.is(first.starts[0]?.outcome, 'crashed');
  assert.is(await first.life.hold(order(0)), undefined);
  const next = createLife();
  assert.ok(next.life.clockMs < first.life.clockMs);
  assert.ok(next.life.acceptsToken(1));
  assert.is(next.life.start(order(1), 'as-specified'), undefined);
  next.life.crash();
});

test.run();
