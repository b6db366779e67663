import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { noMetrics } from '../adapters/system/noMetrics.js';
import { FakeClock } from '../testing/fakeClock.js';
import { recordingLogger } from '../testing/recordingLogger.js';
import { TaskSupervisor } from './taskSupervisor.js';

const createFixture = () => {
  const clock = FakeClock.create();
  const { logger, lines } = recordingLogger();
  const counts: string[] = [];
  const metrics = {
    ...noMetrics,
    count: (name: string, value?: number, tags?: readonly string[]): void =>
      void counts.push([name, value, ...(tags ?? [])].join(' ')),
  };
  const supervisor = TaskSupervisor.create({ clock, logger, metrics });
  return { clock, lines, counts, supervisor, stop: new AbortController() };
};

// Guards against a periodic duty that stops for good with its first error, or fails without a pause.
test('a task that fails begins again after a pause that grows, and each failure is logged and counted', async () => {
  const { clock, lines, counts, supervisor, stop } = createFixture();
  const startsMs: number[] = [];
  const run = async (): Promise<void> => {
    startsMs.push(clock.nowMs());
    throw new Error('odd');
  };
  const kept = supervisor.keep('reading', run, stop.signal);
  await clock.advance(60_000);
  assert.equal(startsMs.slice(0, 5), [0, 100, 300, 700, 1_500]);
  const pauses = startsMs.slice(1).map((startMs, index) => startMs - (startsMs[index] ?? 0));
  assert.is(Math.max(...pauses), 10_000);
  assert.is(counts.length, startsMs.length);
  assert.is(counts[0], 'task_failures 1 task:reading');
  assert.ok(lines[0]?.startsWith('error process: Failed: reading. Error: odd'));
  stop.abort();
  await kept;
});

test('a task that went on for long begins again with the first pause', async () => {
  const { clock, supervisor, stop } = createFixture();
  const startsMs: number[] = [];
  const run = async (): Promise<void> => {
    startsMs.push(clock.nowMs());
    await clock.sleep(startsMs.length === 4 ? 40_000 : 0);
    throw new Error('odd');
  };
  const kept = supervisor.keep('reading', run, stop.signal);
  await clock.advance(60_000);
  assert.equal(startsMs.slice(0, 6), [0, 100, 300, 700, 40_800, 41_000]);
  stop.abort();
  await kept;
});

test('a task that ends or whose owner closes does not begin again', async () => {
  const { clock, supervisor, stop } = createFixture();
  let starts = 0;
  const ends = supervisor.keep('ends', async () => void (starts += 1), stop.signal);
  await ends;
  const fail = async (): Promise<void> => {
    starts += 1;
    throw new Error('odd');
  };
  const fails = supervisor.keep('fails', fail, stop.signal);
  await clock.advance(50);
  stop.abort();
  await fails;
  assert.is(starts, 2);
});

test.run();
