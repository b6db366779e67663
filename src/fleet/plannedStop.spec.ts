import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { FakeClock } from '../testing/fakeClock.js';
import { stopAsPlanned } from './plannedStop.js';

const stopGraceMs = 6_000;
const never = (): Promise<never> => new Promise(() => undefined);

// Guards against a process that the platform has to kill, since one of its parts does not end.
test('a planned stop ends well before the end of the grace period, whatever does not end', async () => {
  const clock = FakeClock.create();
  let hasEnded = false;
  let givenUpAtMs = Infinity;
  void stopAsPlanned({
    ...{ clock, stopGraceMs, closeInterfaces: never },
    daemon: {
      ...{ drain: never, close: never, jobCount: 1, stopAcceptingJobs: () => undefined },
      giveUpJobs: () => (givenUpAtMs = clock.nowMs()),
    },
    front: {
      drain: () => undefined,
      close: never,
      closeIdleConnections: () => undefined,
      kill: never,
    },
  }).then(() => (hasEnded = true));
  await clock.advance(stopGraceMs - 250);
  assert.ok(hasEnded);
  assert.ok(givenUpAtMs <= stopGraceMs - 600);
});

test.run();
