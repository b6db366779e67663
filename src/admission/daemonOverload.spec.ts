import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { noMetrics } from '../adapters/system/noMetrics.js';
import { FakeClock } from '../testing/fakeClock.js';
import { silentLogger } from '../testing/silentLogger.js';
import { DaemonOverload } from './daemonOverload.js';

const createFixture = () => {
  const clock = FakeClock.create();
  const overload = DaemonOverload.create({ clock, logger: silentLogger, metrics: noMetrics });
  /** Records a wait each 100 ms; returns for how long the daemon was not ready meanwhile, in a row at most. */
  const play = async (waitMs: number, durationMs: number): Promise<number> => {
    let unreadyMs = 0;
    let longestMs = 0;
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 100) {
      overload.recordWait(waitMs);
      unreadyMs = overload.isReady ? 0 : unreadyMs + 100;
      longestMs = Math.max(longestMs, unreadyMs);
      await clock.advance(100);
    }
    return longestMs;
  };
  return { overload, play };
};

// Guards against a daemon that leaves its callers because of one long turn, such as a garbage collection.
test('a short wait is no overload, a lasting one is, and it ends by itself', async () => {
  const { overload, play } = createFixture();
  await play(300, 300);
  await play(0, 300);
  assert.not.ok(overload.isOverloaded);
  await play(300, 1_000);
  assert.ok(overload.isOverloaded);
  assert.not.ok(overload.isReady);
  await play(40, 1_000);
  assert.ok(overload.isOverloaded);
  await play(5, 1_000);
  assert.not.ok(overload.isOverloaded);
  assert.ok(overload.isReady);
});

// Guards against a fleet that serves nobody, since all its daemons are overloaded and report that they are not ready.
test('an overloaded daemon is unready for a bounded time, and ready for longer after that', async () => {
  const { overload, play } = createFixture();
  const longestMs = await play(300, 30_000);
  assert.ok(overload.isOverloaded);
  assert.ok(longestMs > 1_000 && longestMs <= 2_000);
});

// Guards against a daemon whose wait swings around the limit and that is unready most of the time.
test('a daemon that was overloaded a moment ago is not unready again at once', async () => {
  const { overload, play } = createFixture();
  await play(300, 1_000);
  await play(0, 700);
  await play(300, 1_500);
  assert.ok(overload.isOverloaded);
  assert.ok(overload.isReady);
});

test.run();
