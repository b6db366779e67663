import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { FakeClock } from '../testing/fakeClock.js';
import { FakeLogService } from '../testing/fakeLogService.js';
import { createConfiguration } from '../testing/fixtures.js';
import { silentLogger } from '../testing/silentLogger.js';
import { MinuteCounter } from './minuteCounter.js';
import { MinuteWriter, minuteMs } from './minuteWriter.js';
import { readMinuteSums } from './readMinuteSums.js';

const { rules } = createConfiguration();

const createWriter = () => {
  const clock = FakeClock.create();
  const logService = FakeLogService.create(clock);
  const counter = MinuteCounter.create();
  const identity = { vmId: 'vm1', incarnation: 'a', logger: silentLogger };
  const writer = MinuteWriter.create({ ...identity, clock, logService, counter });
  return { clock, logService, counter, writer };
};

const endJob = (counter: MinuteCounter): void =>
  counter.record(
    {
      callerClass: 'paying',
      answer: { status: 'complete', results: [] },
      responseMs: 1,
      idealMs: 1,
    },
    rules,
  );

const readMinutes = async (logService: FakeLogService): Promise<[number, number][]> => {
  const sums = await readMinuteSums(logService, 0, AbortSignal.timeout(5_000));
  return sums.unwrap().map(({ minute, classes }) => [minute, classes[0]?.total ?? 0]);
};

test('writes the sums of each minute, including idle minutes', async () => {
  const { clock, logService, counter, writer } = createWriter();
  endJob(counter);
  await clock.advance(2 * minuteMs);
  assert.equal(await readMinutes(logService), [
    [0, 1],
    [1, 0],
  ]);
  await writer.kill();
});

test('keeps the minutes of a log outage, and discards the oldest beyond the bound', async () => {
  const { clock, logService, counter, writer } = createWriter();
  logService.fault = 'outage';
  endJob(counter);
  await clock.advance(62 * minuteMs);
  assert.is(writer.unwrittenSums().length, 61);
  logService.fault = 'none';
  await clock.advance(minuteMs);
  const minutes = await readMinutes(logService);
  assert.is(minutes.length, 60);
  assert.is(minutes[0]?.[0], 3);
  await writer.kill();
});

test('writes the counts of the current minute at a planned shutdown', async () => {
  const { logService, counter, writer } = createWriter();
  endJob(counter);
  await writer.close();
  assert.equal(await readMinutes(logService), [[0, 1]]);
});

test.run();
