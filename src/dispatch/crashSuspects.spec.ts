import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { FakeClock } from '../testing/fakeClock.js';
import { CrashSuspects } from './crashSuspects.js';

test('what is already known is not announced again, so that daemons do not tell each other for ever', async () => {
  const clock = FakeClock.create();
  const suspects = CrashSuspects.create(clock);
  suspects.record({ taskName: 't', lostWorkers: 2 });
  await clock.advance(4_000);
  suspects.record({ taskName: 't', lostWorkers: 2 });
  suspects.record({ taskName: 't', lostWorkers: 1 });
  assert.equal(suspects.listRecent(), []);
  assert.is(suspects.lostWorkersUnder('t'), 2);
});

test('suspects are remembered and announced in bounded numbers, the likeliest causes first', () => {
  const suspects = CrashSuspects.create(FakeClock.create());
  suspects.record({ taskName: 'oldest', lostWorkers: 1 });
  for (let index = 0; index < 5_000; index += 1) {
    suspects.record({ taskName: `t-${index}`, lostWorkers: 1 });
  }
  suspects.record({ taskName: 't-4000', lostWorkers: 2 });
  assert.is(suspects.lostWorkersUnder('oldest'), 0);
  assert.ok(suspects.listRecent().length <= 100);
  assert.equal(suspects.listRecent()[0], { taskName: 't-4000', lostWorkers: 2 });
});

test.run();
