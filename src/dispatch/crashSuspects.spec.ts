import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { SuspectTask } from '../types/fleet.js';
import type { LossStatus } from '../types/losses.js';
import { FakeClock } from '../testing/fakeClock.js';
import { CrashSuspects } from './crashSuspects.js';
import type { Audience } from './crashSuspects.js';
import { countLosses } from './taskLosses.js';

const audiences: readonly Audience[] = ['own-domain', 'other-domain', 'newcomer'];

/** A suspect as another daemon announces it, whose losses have these states. */
const suspect = (taskName: string, ...statuses: LossStatus[]): SuspectTask => ({
  taskName,
  lostWorkers: statuses.length,
  losses: statuses.map((status, index) => ({ id: `vm-${index}.1`, status })),
});

/** @returns the audiences that are told of a task now */
const toldOf = (suspects: CrashSuspects, taskName: string): Audience[] =>
  audiences.filter((audience) =>
    suspects.listAnnounced(audience).some((one) => one.taskName === taskName),
  );

test('what is already known is not announced again, so that daemons do not tell each other for ever', async () => {
  const clock = FakeClock.create();
  const suspects = CrashSuspects.create(clock);
  assert.ok(suspects.recordAnnounced(suspect('t', 'likely', 'likely'), 'own-domain'));
  assert.equal(toldOf(suspects, 't'), ['own-domain', 'other-domain', 'newcomer']);
  await clock.advance(4_000);
  assert.not(suspects.recordAnnounced(suspect('t', 'likely', 'likely'), 'own-domain'));
  assert.not(suspects.recordAnnounced(suspect('t', 'unclear'), 'own-domain'));
  assert.equal(toldOf(suspects, 't'), ['newcomer']);
  assert.is(countLosses(suspects.lossesOf('t')).likelyCrashes, 2);
});

// Guards against heartbeats whose content grows with the square of the number of daemons.
test('what another daemon announces goes on only to the own domain if it comes from another one, unless it is given up', () => {
  const suspects = CrashSuspects.create(FakeClock.create());
  suspects.recordAnnounced(suspect('near', 'likely', 'unclear'), 'own-domain');
  suspects.recordAnnounced(suspect('far', 'likely', 'unclear'), 'other-domain');
  suspects.recordAnnounced(suspect('given-up', 'unclear', 'likely', 'likely'), 'own-domain');
  suspects.recordOwn('own', { id: 'vm-1.1', status: 'awaited' });
  assert.equal(toldOf(suspects, 'near'), ['newcomer']);
  assert.equal(toldOf(suspects, 'far'), ['own-domain', 'newcomer']);
  assert.equal(toldOf(suspects, 'given-up'), ['own-domain', 'other-domain', 'newcomer']);
  assert.equal(toldOf(suspects, 'own'), ['own-domain', 'other-domain', 'newcomer']);
});

// Guards against workers that were only silent being taken for crashed ones at other daemons.
test('a suspect whose workers have not crashed is not passed on, however many there were', () => {
  const suspects = CrashSuspects.create(FakeClock.create());
  const none = Array<LossStatus>(5).fill('none');
  suspects.recordAnnounced(suspect('silent', ...none), 'own-domain');
  assert.equal(toldOf(suspects, 'silent'), ['newcomer']);
  assert.equal(countLosses(suspects.lossesOf('silent')), {
    ...{ lostWorkers: 5, likelyCrashes: 0, unclearLosses: 0 },
  });
});

// Guards against a task that goes on to crash workers at daemons that hear of it only by way of others.
test('a suspect that may have crashed too many workers is passed on, also one of which an earlier version tells', () => {
  const suspects = CrashSuspects.create(FakeClock.create());
  const unclear = Array<LossStatus>(5).fill('unclear');
  const counted = { lostWorkers: 5, unclearLosses: 5 };
  suspects.recordAnnounced(suspect('unclear', ...unclear), 'own-domain');
  suspects.recordAnnounced({ taskName: 'counted', ...counted }, 'own-domain');
  suspects.recordAnnounced(suspect('one-less', ...unclear.slice(1)), 'own-domain');
  assert.equal(toldOf(suspects, 'unclear'), audiences);
  assert.equal(toldOf(suspects, 'counted'), audiences);
  assert.equal(toldOf(suspects, 'one-less'), ['newcomer']);
});

// Guards against an own loss that nobody is told of, since something was heard of its task just after it.
test('what is heard of a task does not end the announcement of an own loss', () => {
  const suspects = CrashSuspects.create(FakeClock.create());
  suspects.recordOwn('t', { id: 'own-1.1', status: 'awaited' });
  suspects.recordAnnounced(suspect('t', 'unclear'), 'own-domain');
  assert.equal(toldOf(suspects, 't'), ['own-domain', 'other-domain', 'newcomer']);
});

// Guards against a crash that other daemons are not told of, and against one that they are not told was none.
test('what a loss turns out to be is announced again', async () => {
  for (const status of ['likely', 'none'] as const) {
    const clock = FakeClock.create();
    const suspects = CrashSuspects.create(clock);
    suspects.recordOwn('t', { id: 'vm-1.1', status: 'awaited' });
    await clock.advance(4_000);
    assert.equal(toldOf(suspects, 't'), ['newcomer']);
    suspects.recordOwn('t', { id: 'vm-1.1', status });
    assert.equal(toldOf(suspects, 't'), ['own-domain', 'other-domain', 'newcomer']);
    const [announced] = suspects.listAnnounced('own-domain');
    assert.equal(announced?.losses, [{ id: 'vm-1.1', status }]);
  }
});

// Guards against a task that waits for ever for the answer of a worker that is gone, here or where its job comes next.
test('the answer of a silent worker is awaited for some seconds', async () => {
  const clock = FakeClock.create();
  const suspects = CrashSuspects.create(clock);
  suspects.recordOwn('t', { id: 'vm-1.1', status: 'awaited' });
  await clock.advance(4_900);
  assert.equal([...suspects.lossesOf('t').known.values()], ['awaited']);
  await clock.advance(200);
  assert.equal([...suspects.lossesOf('t').known.values()], ['unclear']);
  assert.equal(suspects.listAnnounced('newcomer')[0]?.losses, [
    { id: 'vm-1.1', status: 'unclear' },
  ]);
  suspects.recordOwn('t', { id: 'vm-1.1', status: 'likely' });
  assert.equal([...suspects.lossesOf('t').known.values()], ['likely']);
});

// Guards against losses that only a daemon that has restarted since has heard of, and against old ones that go on for ever.
test('newcomers are told of the losses of the last minutes', async () => {
  const clock = FakeClock.create();
  const suspects = CrashSuspects.create(clock);
  suspects.recordAnnounced(suspect('t', 'unclear'), 'own-domain');
  await clock.advance(60_000);
  assert.equal(toldOf(suspects, 't'), ['newcomer']);
  await clock.advance(120_000);
  assert.equal(toldOf(suspects, 't'), []);
});

test('suspects are remembered and announced in bounded numbers, the likeliest causes first', () => {
  const suspects = CrashSuspects.create(FakeClock.create());
  suspects.recordOwn('oldest', { id: 'vm-1.1', status: 'unclear' });
  for (let index = 0; index < 5_000; index += 1) {
    suspects.recordOwn(`t-${index}`, { id: 'vm-1.1', status: 'unclear' });
  }
  suspects.recordOwn('t-4000', { id: 'vm-1.2', status: 'likely' });
  assert.not(suspects.has('oldest'));
  for (const audience of audiences) {
    assert.ok(suspects.listAnnounced(audience).length <= 100);
    assert.equal(suspects.listAnnounced(audience)[0], {
      ...{ taskName: 't-4000', lostWorkers: 2, likelyCrashes: 1, unclearLosses: 2 },
      losses: [
        { id: 'vm-1.1', status: 'unclear' },
        { id: 'vm-1.2', status: 'likely' },
      ],
    });
  }
});

// Guards against a likely crash that is told only with the next heartbeat, before which the daemon that found it may be killed.
test('a likely crash that is found here is news once, and nothing else is', () => {
  let newsCount = 0;
  const suspects = CrashSuspects.create(FakeClock.create(), () => (newsCount += 1));
  suspects.recordOwn('t', { id: 'vm-1.1', status: 'awaited' });
  suspects.recordAnnounced(suspect('t', 'likely'), 'own-domain');
  assert.is(newsCount, 0);
  suspects.recordOwn('t', { id: 'vm-1.1', status: 'likely' });
  suspects.recordOwn('t', { id: 'vm-1.1', status: 'likely' });
  assert.is(newsCount, 1);
});

test.run();
