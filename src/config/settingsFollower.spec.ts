import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { parseJson } from '../utils/parseJson.js';
import { FakeClock } from '../testing/fakeClock.js';
import { noMetrics } from '../adapters/system/noMetrics.js';
import { recordingLogger } from '../testing/recordingLogger.js';
import { SettingsFollower } from './settingsFollower.js';

interface TestSettings {
  readonly graceMs: number;
  readonly address: string;
}

const initial: TestSettings = { graceMs: 100, address: 'a' };

const decode = (text: string): Result<TestSettings, string> => {
  const value = parseJson(text) as TestSettings | undefined;
  return value === undefined ? Err('The file is not JSON.') : Ok(value);
};

const createFixture = (inspect: (text: string) => void = () => undefined) => {
  const clock = FakeClock.create();
  const { logger, lines } = recordingLogger();
  const file = { text: JSON.stringify(initial) };
  const applied: TestSettings[] = [];
  const follower = SettingsFollower.create<TestSettings>({
    clock,
    logger,
    metrics: noMetrics,
    source: {
      readText: () => Ok(file.text),
      decode: (text) => {
        inspect(text);
        return decode(text);
      },
    },
    initial,
    liveFields: ['graceMs'],
    apply: (settings) => applied.push(settings),
  });
  const count = (part: string): number => lines.filter((line) => line.includes(part)).length;
  return { clock, file, applied, follower, count };
};

test('a changed field that is live takes effect, with and without a signal', async () => {
  const { clock, file, applied, follower } = createFixture();
  file.text = JSON.stringify({ ...initial, graceMs: 200 });
  follower.reload();
  await clock.advance(1);
  assert.equal(applied, [{ graceMs: 200, address: 'a' }]);
  file.text = JSON.stringify({ ...initial, graceMs: 300 });
  await clock.advance(1_100);
  assert.is(applied.at(-1)?.graceMs, 300);
  await follower.close();
});

test('a field that needs a restart keeps its value and is named once', async () => {
  const { clock, file, applied, follower, count } = createFixture();
  file.text = JSON.stringify({ graceMs: 200, address: 'b' });
  for (let signal = 0; signal < 5; signal += 1) {
    follower.reload();
    await clock.advance(300);
  }
  assert.equal(applied, [{ graceMs: 200, address: 'a' }]);
  assert.is(count('only after a restart. address'), 1);
  await follower.close();
});

test('a half-written file changes nothing, and is read again until it is whole', async () => {
  const { clock, file, applied, follower, count } = createFixture();
  const whole = JSON.stringify({ ...initial, graceMs: 400 });
  file.text = whole.slice(0, 9);
  follower.reload();
  await clock.advance(2_500);
  assert.equal(applied, []);
  assert.is(count('is not valid'), 1);
  file.text = whole;
  await clock.advance(1_100);
  assert.is(applied.at(-1)?.graceMs, 400);
  await follower.close();
});

// Guards against a file after which no change is noticed any more, and the planned stop of the process fails.
test('an error while a file is handled ends neither the following nor the stop', async () => {
  const { clock, file, applied, follower, count } = createFixture((text) => {
    if (text.includes('odd')) {
      throw new Error('a fault of the decoder');
    }
  });
  file.text = '{"odd":1}';
  follower.reload();
  await clock.advance(1_100);
  assert.is(count('a fault of the decoder'), 1);
  file.text = JSON.stringify({ ...initial, graceMs: 500 });
  await clock.advance(1_100);
  assert.is(applied.at(-1)?.graceMs, 500);
  await follower.close();
});

test.run();
