import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { FakeClock } from '../testing/fakeClock.js';
import { CrashSuspects } from './crashSuspects.js';
import { noLosses } from './lossCounts.js';

test('what is already known is not announced again, so that daemons do not tell each other for ever', async () => {
  const clock = FakeClock.create();
  const suspects = CrashSuspects.create(clock);
  suspects.recordAnnounced({ taskName: 't', lostWorkers: 2, likelyCrashes: 2, unclearLosses: 2 });
  assert.is(suspects.listAnnounced().length, 1);
  await clock.advance(4_000);
  suspects.recordAnnounced({ taskName: 't', lostWorkers: 2, likelyCrashes: 2, unclearLosses: 2 });
  suspects.recordAnnounced({ taskName: 't', lostWorkers: 1 });
  assert.equal(suspects.listAnnounced(), []);
  assert.equal(suspects.countsOf('t'), { lostWorkers: 2, likelyCrashes: 2, unclearLosses: 2 });
});

// Guards against heartbeats whose content grows with the square of the number of daemons.
test('a suspect that another daemon announces is not announced here unless it is given up', () => {
  const suspects = CrashSuspects.create(FakeClock.create());
  suspects.recordAnnounced({ taskName: 'theirs', lostWorkers: 1 });
  suspects.recordOwn({ taskName: 'own', lostWorkers: 1 });
  suspects.recordAnnounced({ taskName: 'given-up', lostWorkers: 2, likelyCrashes: 2 });
  assert.equal(
    suspects.listAnnounced().map(({ taskName }) => taskName),
    ['given-up', 'own'],
  );
});

// Guards against workers that were only silent being taken for crashed ones at other daemons.
test('a suspect whose workers were only silent is not passed on, however many there were', () => {
  const suspects = CrashSuspects.create(FakeClock.create());
  suspects.recordAnnounced({ taskName: 'silent', lostWorkers: 5 });
  assert.equal(suspects.listAnnounced(), []);
  assert.equal(suspects.countsOf('silent'), { ...noLosses, lostWorkers: 5 });
});

// Guards against a task that goes on to crash workers at daemons that hear of it only by way of others.
test('a suspect that may have crashed too many workers is passed on', () => {
  const suspects = CrashSuspects.create(FakeClock.create());
  const unclear = { taskName: 'unclear', lostWorkers: 5, unclearLosses: 5 };
  const likely = { taskName: 'likely', lostWorkers: 2, likelyCrashes: 2 };
  suspects.recordAnnounced(unclear);
  suspects.recordAnnounced(likely);
  suspects.recordAnnounced({ taskName: 'one', lostWorkers: 4, unclearLosses: 4 });
  assert.equal(suspects.listAnnounced(), [likely, unclear]);
});

// Guards against a crash that other daemons are not told of, since the number of lost workers stays the same.
test('a loss that turns out to be a crash is announced again, and one that was none is forgotten', async () => {
  const clock = FakeClock.create();
  const suspects = CrashSuspects.create(clock);
  suspects.recordOwn({ taskName: 't', lostWorkers: 2, unclearLosses: 2 });
  await clock.advance(4_000);
  suspects.settle('t', 'none');
  assert.equal(suspects.listAnnounced(), []);
  suspects.settle('t', 'likely');
  assert.equal(suspects.listAnnounced(), [
    { taskName: 't', lostWorkers: 2, likelyCrashes: 1, unclearLosses: 1 },
  ]);
});

test('suspects are remembered and announced in bounded numbers, the likeliest causes first', () => {
  const suspects = CrashSuspects.create(FakeClock.create());
  suspects.recordOwn({ taskName: 'oldest', lostWorkers: 1 });
  for (let index = 0; index < 5_000; index += 1) {
    suspects.recordOwn({ taskName: `t-${index}`, lostWorkers: 1 });
  }
  suspects.recordOwn({ taskName: 't-4000', lostWorkers: 2, likelyCrashes: 1 });
  assert.is(suspects.countsOf('oldest').lostWorkers, 0);
  assert.ok(suspects.listAnnounced().length <= 100);
  assert.equal(suspects.listAnnounced()[0], {
    taskName: 't-4000',
    lostWorkers: 2,
    likelyCrashes: 1,
  });
});

test.run();
