import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { FakeClock } from '../testing/fakeClock.js';
import type { DoubtedStart } from '../types/fleet.js';
import { DoubtedStarts } from './doubtedStarts.js';

const announced: DoubtedStart = {
  ...{ id: 'other-1/a.1', taskName: 'a', workerId: 'i-1', status: 'open', leftMs: 10_000 },
};

// Guards against tasks that start beside a start in doubt, or that wait for it for ever.
test('a task is in doubt until its start is resolved, or can no longer be carried out', async () => {
  const clock = FakeClock.create();
  const doubts = DoubtedStarts.create(clock);
  doubts.recordUnanswered('1/a.1', 'a', 'i-1');
  doubts.recordUnanswered('1/b.1', 'b', 'i-1');
  assert.ok(doubts.isDoubted('a'));
  assert.not(doubts.isDoubted('c'));
  doubts.resolve('1/a.1');
  assert.not(doubts.isDoubted('a'));
  await clock.advance(9_900);
  assert.ok(doubts.isDoubted('b'));
  await clock.advance(200);
  assert.not(doubts.isDoubted('b'));
});

// Guards against an announcement that brings a doubt back, since it was under way when the doubt ended.
test('a doubt that is over stays over', () => {
  const doubts = DoubtedStarts.create(FakeClock.create());
  doubts.recordAnnounced(announced, 'own-domain');
  assert.ok(doubts.isDoubted('a'));
  doubts.recordAnnounced({ ...announced, status: 'over', leftMs: 0 }, 'own-domain');
  doubts.recordAnnounced(announced, 'own-domain');
  assert.not(doubts.isDoubted('a'));
});

// Guards against doubts of a lost dispatcher that last although its worker refuses its starts by now.
test('a worker that is taken over ends the doubts of earlier dispatchers there, and none of this one', () => {
  const doubts = DoubtedStarts.create(FakeClock.create());
  doubts.recordAnnounced(announced, 'own-domain');
  doubts.recordUnanswered('own-1/b.1', 'b', 'i-1');
  doubts.resolveAt('i-2');
  assert.ok(doubts.isDoubted('a'));
  doubts.resolveAt('i-1');
  assert.not(doubts.isDoubted('a'));
  assert.ok(doubts.isDoubted('b'));
});

// Guards against daemons that hear of no doubt, and against announcements that go round without end.
test('a doubt is announced to all, and once more within another domain', async () => {
  const clock = FakeClock.create();
  const doubts = DoubtedStarts.create(clock);
  const namesFor = (audience: 'own-domain' | 'other-domain' | 'newcomer'): string[] =>
    doubts.listAnnounced(audience).map(({ taskName }) => taskName);
  doubts.recordUnanswered('1/own.1', 'own', 'i-1');
  doubts.recordAnnounced({ ...announced, id: '2', taskName: 'near' }, 'own-domain');
  doubts.recordAnnounced({ ...announced, id: '3', taskName: 'far' }, 'other-domain');
  assert.equal(namesFor('own-domain'), ['far', 'own']);
  assert.equal(namesFor('other-domain'), ['own']);
  assert.equal(namesFor('newcomer'), ['far', 'near', 'own']);
  await clock.advance(4_000);
  assert.equal(namesFor('own-domain'), []);
  assert.equal(namesFor('newcomer'), ['far', 'near', 'own']);
  doubts.resolve('1/own.1');
  for (const audience of ['other-domain', 'newcomer'] as const) {
    const own = doubts.listAnnounced(audience).find(({ id }) => id === '1/own.1');
    assert.is(own?.status, 'over');
  }
});

// Guards against memory, and time for each heartbeat, that grow with the starts that were ever in doubt.
test('doubts are forgotten a while after nobody announces them any more', async () => {
  const clock = FakeClock.create();
  const doubts = DoubtedStarts.create(clock);
  doubts.recordUnanswered('1/a.1', 'a', 'i-1');
  doubts.recordAnnounced(announced, 'other-domain');
  doubts.resolve('1/a.1');
  await clock.advance(19_900);
  doubts.recordUnanswered('1/b.1', 'b', 'i-1');
  doubts.listAnnounced('own-domain');
  assert.is(doubts.size, 3);
  await clock.advance(200);
  doubts.listAnnounced('own-domain');
  assert.is(doubts.size, 1);
  assert.ok(doubts.isDoubted('b'));
});

// Guards against tasks that start beside those of a lost dispatcher, or that wait when others have its workers.
test('the tasks of a lost dispatcher are in doubt for 2.5 s after it was last heard', async () => {
  const clock = FakeClock.create();
  const doubts = DoubtedStarts.create(clock);
  doubts.recordLostBatch('b-1', ['a', 'b'], 0);
  doubts.recordLostBatch('b-2', ['c'], 900);
  await clock.advance(1_500);
  assert.equal(
    ['a', 'b', 'c'].map((name) => doubts.isDoubted(name)),
    [true, true, true],
  );
  await clock.advance(200);
  assert.equal(
    ['a', 'b', 'c'].map((name) => doubts.isDoubted(name)),
    [true, true, false],
  );
  await clock.advance(900);
  assert.equal(
    ['a', 'b', 'c'].map((name) => doubts.isDoubted(name)),
    [false, false, false],
  );
});

// Guards against tasks of a large batch that start elsewhere, since only a part of them was announced.
test('all tasks of a lost batch are announced, in several heartbeats where they are many', async () => {
  const clock = FakeClock.create();
  const doubts = DoubtedStarts.create(clock);
  const taskNames = Array.from({ length: 200 }, (_, index) => `a.0.0.${index}`);
  doubts.recordLostBatch('b-1', taskNames, 0);
  const announced = new Set<string>();
  for (let heartbeats = 0; heartbeats < 5; heartbeats += 1) {
    doubts.listAnnounced('own-domain').forEach(({ taskName }) => announced.add(taskName));
    await clock.advance(300);
  }
  assert.is(announced.size, taskNames.length);
});

// Guards against open doubts that are forgotten for many that are over.
test('a doubt that is over is forgotten before one that is open', () => {
  const doubts = DoubtedStarts.create(FakeClock.create());
  doubts.recordUnanswered('open', 'a.0.0.0', 'i-1');
  for (let count = 0; count < 5_000; count += 1) {
    doubts.recordUnanswered(`over-${count}`, `b.0.0.${count}`, 'i-1');
    doubts.resolve(`over-${count}`);
  }
  assert.ok(doubts.isDoubted('a.0.0.0'));
  assert.ok(doubts.size < 5_000);
});

test.run();
