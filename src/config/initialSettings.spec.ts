import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { FakeClock } from '../testing/fakeClock.js';
import { recordingLogger } from '../testing/recordingLogger.js';
import { readInitialSettings } from './initialSettings.js';

const valid = '{"graceMs":5000}';

/** Starts to read a file whose text depends on the time. */
const readFile = (textAt: (nowMs: number) => Result<string, string>) => {
  const clock = FakeClock.create();
  const { logger, lines } = recordingLogger();
  let result: Result<string, string> | undefined;
  const source = {
    readText: () => textAt(clock.nowMs()),
    decode: (text: string): Result<string, string> =>
      text === valid ? Ok(text) : Err(`No JSON: ${text}`),
  };
  void readInitialSettings({ clock, logger, source }).then((one) => (result = one));
  return { clock, lines, result: () => result };
};

test('a valid file is read once, without a log line', async () => {
  const { clock, lines, result } = readFile(() => Ok(valid));
  await clock.flushCallbacks();
  assert.equal(result(), Ok(valid));
  assert.equal(lines, []);
});

// Guards against a daemon that ends, and does not come back, since it started while its settings were written.
test('a file that is missing, empty or cut off for a moment is read again', async () => {
  for (const text of [Err('no such file'), Ok(''), Ok(valid.slice(0, 7))]) {
    const { clock, lines, result } = readFile((nowMs) => (nowMs < 900 ? text : Ok(valid)));
    await clock.advance(899);
    assert.is(result(), undefined);
    await clock.advance(51);
    assert.equal(result(), Ok(valid));
    assert.is(lines.length, 1);
    assert.match(lines[0] ?? '', /^warn settings: .*read again/);
  }
});

test('a file that stays as it is ends the start with its last error, in bounded time', async () => {
  const { clock, lines, result } = readFile((nowMs) => (nowMs < 100 ? Ok('') : Ok('{"graceMs"')));
  await clock.advance(2_000);
  const end = result();
  assert.is(end?.isErr() && end.error, 'No JSON: {"graceMs"');
  assert.is(lines.length, 1);
});

test.run();
