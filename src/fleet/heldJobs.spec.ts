import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { FakeClock } from '../testing/fakeClock.js';
import type { HeldJobGroup } from '../types/fleet.js';
import { HeldJobs, statedAfterMs } from './heldJobs.js';
import type { StatementSource } from './heldJobs.js';

const createFixture = () => {
  const clock = FakeClock.create();
  const held = HeldJobs.create(clock, 'own');
  const hear = (sender: string, source: StatementSource, groups: HeldJobGroup[], ageMs = 0): void =>
    held.record({ sender, source, groups, ageMs });
  return { clock, held, hear };
};

// Guards against a job that is taken for free while its holder's runs may go on, or held for ever after.
test('a job is held for as long as its holder has stated last, less the age of the statement', async () => {
  const { clock, held, hear } = createFixture();
  hear('a', 'own-domain', [{ leftMsByJob: { job: 1_000 } }]);
  await clock.advance(600);
  hear('a', 'own-domain', [{ leftMsByJob: { job: 500 } }], 100);
  assert.equal(
    held.claimsOn('job').map(({ holder, untilMs }) => [holder, untilMs - clock.nowMs()]),
    [['a', 400]],
  );
  await clock.advance(400);
  assert.equal(held.claimsOn('job'), []);
  await clock.advance(1_000);
  hear('a', 'own-domain', []);
  assert.is(held.size, 0);
});

// Guards against statements that go round among the daemons for ever, and whose number grows with the square of the fleet.
test('only what a holder in another failure domain has stated itself is passed on, and only for a while', async () => {
  const { clock, held, hear } = createFixture();
  hear('near', 'own-domain', [
    { leftMsByJob: { a: 9_000 } },
    { holder: 'far-1', leftMsByJob: { b: 9_000 } },
    { holder: 'own', leftMsByJob: { c: 9_000 } },
  ]);
  hear('far-2', 'other-domain', [
    { leftMsByJob: { d: 9_000 } },
    { holder: 'far-3', leftMsByJob: { e: 9_000 } },
  ]);
  const listPassedOn = () =>
    held.listPassedOn().map(({ jobId, holder, untilMs }) => ({ jobId, holder, untilMs }));
  assert.equal(listPassedOn(), [{ jobId: 'd', holder: 'far-2', untilMs: 9_000 }]);
  const holdersOf = (jobId: string): string[] =>
    held.claimsOn(jobId).map(({ holder, via = 'itself' }) => `${holder} by ${via}`);
  assert.equal(['a', 'b', 'c', 'd', 'e'].flatMap(holdersOf), [
    'near by itself',
    'far-1 by near',
    'far-2 by itself',
  ]);
  await clock.advance(2_000);
  assert.equal(held.listPassedOn(), []);
  assert.is(held.claimsOn('d').length, 1);
});

// Guards against callers of a killed daemon that wait for jobs which it can't run any more.
test('a holder that is gone holds its jobs no longer than its last word confirms their runs', async () => {
  const { clock, held, hear } = createFixture();
  hear('a', 'own-domain', [{ leftMsByJob: { job: 9_000, short: 200 } }]);
  hear('b', 'own-domain', [{ leftMsByJob: { job: 5_000 } }]);
  held.recordGone('a', clock.nowMs() + 1_200);
  await clock.advance(1_200);
  assert.equal(
    held.claimsOn('job').map(({ holder }) => holder),
    ['b'],
  );
  held.forget({ jobId: 'job', holder: 'b' });
  assert.equal(held.claimsOn('job'), []);
});

// Guards against memory that grows with what others state.
test('the number of jobs that are remembered is bounded', () => {
  const { held, hear } = createFixture();
  const leftMsByJob = Object.fromEntries(
    Array.from({ length: 20_000 }, (_, index) => [`job-${index}`, 60_000]),
  );
  hear('a', 'own-domain', [{ leftMsByJob }]);
  assert.is(held.size, 16_384);
  assert.equal(held.claimsOn('job-0'), []);
  assert.is(held.claimsOn('job-19999').length, 1);
});

// Guards against short jobs that fill the heartbeats, and against long ones that are stated after their caller is back.
test('a job that is expected to take long is stated at once, another one when it takes longer', () => {
  assert.is(statedAfterMs(2_000), 0);
  assert.is(statedAfterMs(50), 400);
});

test.run();
