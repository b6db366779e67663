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
  assert.equal(
    doubts.listAnnounced('other-domain').map(({ status }) => status),
    ['over'],
  );
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

test.run();
