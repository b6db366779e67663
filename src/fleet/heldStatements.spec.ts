import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { HeldJob } from '../bestEffort/runningJobs.js';
import { FakeClock } from '../testing/fakeClock.js';
import type { HeldJobGroup } from '../types/fleet.js';
import { HeldStatements, ownLimits, passedOnLimits } from './heldStatements.js';
import type { HeldClaim } from './heldJobs.js';
import type { Statable } from './statementTurns.js';

const heartbeatMs = 600;

const jobsOf = (prefix: string, count: number, leftMs = 60_000): HeldJob[] =>
  Array.from({ length: count }, (_, index) => ({ jobId: `${prefix}-${index}`, leftMs }));

const claimsOf = (count: number): (HeldClaim & Statable)[] =>
  Array.from({ length: count }, (_, index) => ({
    key: `${index}`,
    ...{ jobId: `far-${index}`, holder: `holder-${index % 3}`, via: undefined, untilMs: 60_000 },
  }));

const idsIn = (groups: readonly HeldJobGroup[]): string[] =>
  groups.flatMap(({ leftMsByJob }) => Object.keys(leftMsByJob));

const createFixture = (jobs: HeldJob[], claims: (HeldClaim & Statable)[] = []) => {
  const clock = FakeClock.create();
  const state = { jobs, claims };
  const statements = HeldStatements.create({
    ...{ clock, ownId: 'own', listHeld: () => state.jobs },
    held: { listPassedOn: () => state.claims },
  });
  const tell = (peer: string | undefined, isSameDomain = false): string[] =>
    idsIn(statements.compose(peer, isSameDomain));
  return { clock, state, statements, tell };
};

// Guards against a job that runs twice, since its holder has not stated it before its caller came to another daemon.
test('each of many jobs is stated in the first two heartbeats to each process', () => {
  const { tell } = createFixture(jobsOf('job', 100));
  for (const peer of ['a', 'b', undefined]) {
    assert.is(new Set(tell(peer)).size, 100, peer);
    assert.is(new Set(tell(peer)).size, 100, peer);
  }
});

// Guards against heartbeats that grow with the jobs of a daemon, and against jobs that are never stated again.
test('of many jobs that were stated each heartbeat repeats a part, and all of them in turn', () => {
  const count = 2 * ownLimits.maxRepeated + 1;
  const { tell } = createFixture(jobsOf('job', count));
  tell('a');
  tell('a');
  const repeated = [tell('a'), tell('a'), tell('a')];
  repeated.forEach((ids) => assert.is(ids.length, ownLimits.maxRepeated));
  assert.is(new Set(repeated.flat()).size, count);
});

// Guards against a new job that waits for its turn behind the repeated ones, and against one message of any size.
test('what was not stated goes first, and more of it than fits comes with the next heartbeats', () => {
  const { state, tell } = createFixture(jobsOf('old', 40));
  tell('a');
  tell('a');
  const fresh = jobsOf('new', ownLimits.maxDue + 10);
  state.jobs = [...fresh, ...state.jobs];
  const first = tell('a');
  assert.is(first.length, ownLimits.maxDue);
  assert.ok(first.every((id) => id.startsWith('new')));
  const second = tell('a');
  assert.is(new Set([...first, ...second].filter((id) => id.startsWith('new'))).size, fresh.length);
});

// Guards against the caller that may be back soonest and whose job is stated last.
test('of the jobs that were not stated, the oldest one goes first', () => {
  const latestFirst = jobsOf('job', ownLimits.maxDue + 1);
  const { tell } = createFixture(latestFirst);
  const ids = tell('a');
  assert.is(ids[0], latestFirst.at(-1)?.jobId);
  assert.not.ok(ids.includes('job-0'));
});

// Guards against a process that has heard nothing of what it was told, or does not run any more.
test('all is stated again to a process with which contact was lost', () => {
  const { statements, tell } = createFixture(jobsOf('job', 100));
  tell('a');
  tell('a');
  assert.is(tell('a').length, ownLimits.maxRepeated);
  statements.forget('a');
  assert.is(tell('a').length, 100);
});

// Guards against a job whose second attempt is held for longer than other daemons have heard of its first one.
test('a job that is held for longer than was stated is stated as a new one', async () => {
  const { clock, state, tell } = createFixture(jobsOf('job', 100, 9_000));
  tell('a');
  tell('a');
  await clock.advance(heartbeatMs);
  const [again] = state.jobs;
  assert.ok(again !== undefined);
  state.jobs = state.jobs.map((job) => ({ ...job, leftMs: 9_000 - heartbeatMs }));
  assert.is(tell('a').length, ownLimits.maxRepeated);
  state.jobs = [{ ...again, leftMs: 20_000 }, ...state.jobs.slice(1)];
  assert.is(tell('a')[0], again.jobId);
});

// Guards against a job that is held again while many new ones come, and is not stated, since its earlier attempt was.
test('a job that is held again after it was not is stated as a new one', () => {
  const half = ownLimits.maxRepeated / 2;
  const again = jobsOf('job', 1);
  const { state, tell } = createFixture(again);
  tell('a');
  tell('a');
  state.jobs = jobsOf('first', half);
  tell('a');
  state.jobs = [...jobsOf('second', half), ...state.jobs, ...again];
  assert.ok(again.every(({ jobId }) => tell('a').includes(jobId)));
});

// Guards against one job whose two entries make its statement shorter than its runs.
test('a job of which several attempts wait is stated with the longest time', () => {
  const { statements } = createFixture([
    { jobId: 'job', leftMs: 100.2 },
    { jobId: 'job', leftMs: 900.2 },
    { jobId: 'job', leftMs: 300 },
  ]);
  assert.equal(statements.compose('a', false), [{ leftMsByJob: { job: 901 } }]);
});

// Guards against the same jobs that are not passed on in time, and against statements beyond the failure domain.
test('what other failure domains have stated is passed on at once within the own one, by holder', () => {
  const { state, statements, tell } = createFixture([], claimsOf(45));
  assert.equal(statements.compose('far', false), []);
  const groups = statements.compose('near', true);
  assert.equal(
    groups.map(({ holder }) => holder),
    ['holder-0', 'holder-1', 'holder-2'],
  );
  assert.is(new Set(idsIn(groups)).size, 45);
  assert.is(tell('near', true).length, passedOnLimits.maxRepeated);
  state.claims = claimsOf(45 + passedOnLimits.maxDue + 1);
  assert.is(tell('near', true).length, passedOnLimits.maxDue);
});

test.run();
