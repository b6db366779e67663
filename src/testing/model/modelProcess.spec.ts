import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { FakeClock } from '../fakeClock.js';
import { ModelProcess } from './modelProcess.js';

// Guards against a suspended VM whose timers fire as if the monotonic clock had gone on.
test('on a suspended VM, the monotonic clock and the timers stop, and the other clocks go on', async () => {
  const time = FakeClock.create();
  const process = ModelProcess.create('daemon', time);
  const { clock } = process;
  const wallAtBeginMs = clock.wallMs();
  let firedAtMs: number | undefined;
  void clock.sleep(300).then(() => (firedAtMs = clock.bootMs()));
  await time.advance(100);
  process.suspend();
  await time.advance(1_000);
  await process.thaw();
  assert.is(clock.nowMs(), 100);
  assert.is(clock.bootMs(), 1_100);
  assert.is(clock.wallMs() - wallAtBeginMs, 1_100);
  assert.is(firedAtMs, undefined);
  await time.advance(200);
  assert.is(firedAtMs, 1_300);
});

// Guards against a frozen process whose overdue timers wait once more.
test('in a frozen process, all clocks go on, and overdue timers fire when it is thawed', async () => {
  const time = FakeClock.create();
  const process = ModelProcess.create('daemon', time);
  let firedAtMs: number | undefined;
  void process.clock.sleep(300).then(() => (firedAtMs = process.clock.nowMs()));
  process.freeze();
  await time.advance(1_000);
  assert.is(firedAtMs, undefined);
  await process.thaw();
  assert.is(firedAtMs, 1_000);
});

test.run();
