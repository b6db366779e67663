import { Err, Ok } from 'ts-results-es';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createProblem } from '../errors/problem.js';
import type { SubmitOutcome } from '../ports/peers.js';
import { DaemonFixture } from '../testing/daemonFixture.js';
import { createCaller, createConfiguration, createSubmission } from '../testing/fixtures.js';
import { findDoubleStarts, findFalseNotRun } from '../testing/atMostOnceChecks.js';

const counter = createCaller('counter');
const [first, second, third] = ['muenchen-vm1', 'muenchen-vm2', 'muenchen-vm3'] as const;
const fitSubmission = createSubmission('fit', [1]);

const runStateOf = (outcome: SubmitOutcome): string =>
  outcome.kind === 'refused' ? outcome.problem.runState : outcome.answer.status;

/** Checks that no input started twice, and that no outcome calls a started input `not-run`. */
const assertAtMostOnce = (
  fixture: DaemonFixture,
  inputs: unknown[],
  outcomes: SubmitOutcome[],
): void => {
  assert.equal(findDoubleStarts(fixture.endpoints, inputs), []);
  for (const outcome of outcomes) {
    assert.equal(findFalseNotRun(fixture.endpoints, inputs, outcome), []);
  }
};

const killCases = [
  { name: 'before', killAfterMs: undefined, starts: 0 },
  { name: 'during', killAfterMs: 50, starts: 1 },
  { name: 'after', killAfterMs: 500, starts: 1 },
];

for (const { name, killAfterMs, starts } of killCases) {
  test(`starts nothing through another daemon after the owner was killed ${name} the first start`, async () => {
    const fixture = await DaemonFixture.create([first, second]);
    const key = `${fixture.daemon(first).owner()}~a`;
    if (killAfterMs !== undefined) {
      void fixture.daemon(first).submit(counter, key, Ok(fitSubmission));
      await fixture.clock.advance(killAfterMs);
    }
    fixture.kill(first);
    const again = fixture.daemon(second).submit(counter, key, Ok(fitSubmission));
    await fixture.clock.advance(20_000);
    assert.is(runStateOf(await again), 'outcome-unknown');
    assert.is(fixture.endpoints.countStarts(1), starts);
    await fixture.close();
  });
}

test('starts no task past the deadline after the owner process was paused', async () => {
  const configuration = createConfiguration({ workersPerFailureDomain: 1, slots: 1 });
  const fixture = await DaemonFixture.create([first, second], configuration);
  const owner = fixture.daemon(first);
  const key = `${owner.owner()}~a`;
  const submission = createSubmission('fit', [1, 2], 1_000);
  const outcome = owner.submit(counter, key, Ok(submission));
  await fixture.clock.advance(50);
  fixture.network.setCut(first, second, true);
  const during = fixture.daemon(second).submit(counter, key, Ok(submission));
  await fixture.clock.flushCallbacks();
  fixture.clock.jump(60_000);
  await fixture.clock.advance(10_000);
  fixture.network.setCut(first, second, false);
  const after = fixture.daemon(second).submit(counter, key, Ok(submission));
  await fixture.clock.advance(1_000);
  const outcomes = [await outcome, await during, await after];
  assert.is(runStateOf(await during), 'outcome-unknown');
  assert.equal(await after, await outcome);
  assert.is(fixture.endpoints.countStarts(1) + fixture.endpoints.countStarts(2), 1);
  assertAtMostOnce(fixture, [1, 2], outcomes);
  await fixture.close();
});

test('does not start a submission again after the resubmission window', async () => {
  const configuration = createConfiguration();
  const rules = { ...configuration.rules, maxDeadlineMs: 20_000, resubmissionWindowMs: 20_000 };
  const fixture = await DaemonFixture.create([first], { ...configuration, rules });
  const daemon = fixture.daemon(first);
  const key = `${daemon.owner()}~a`;
  const outcome = daemon.submit(counter, key, Ok(fitSubmission));
  await fixture.clock.advance(12_000);
  assert.equal(await daemon.submit(counter, key, Ok(fitSubmission)), await outcome);
  assert.is(daemon.owner().endsWith('.2'), true);
  await fixture.clock.advance(60_000);
  assert.is(runStateOf(await daemon.submit(counter, key, Ok(fitSubmission))), 'outcome-unknown');
  assert.is(fixture.endpoints.countStarts(1), 1);
  await fixture.close();
});

test('finishes and answers waiting jobs before a planned shutdown ends', async () => {
  const fixture = await DaemonFixture.create([first, second]);
  const owner = fixture.daemon(first);
  const inputs = Array.from({ length: 200 }, (_, i) => i);
  const key = `${owner.owner()}~a`;
  const outcome = owner.submit(counter, key, Ok(createSubmission('fit', inputs)));
  await fixture.clock.flushCallbacks();
  const stopped = fixture.stop(first);
  await fixture.clock.advance(30_000);
  await stopped;
  assert.is(runStateOf(await outcome), 'complete');
  assertAtMostOnce(fixture, inputs, [await outcome]);
  await fixture.close();
});

test('resends a submission to the same owner after its link broke', async () => {
  const fixture = await DaemonFixture.create([first, second]);
  const key = `${fixture.daemon(first).owner()}~a`;
  fixture.network.setFault(second, first, 'answer-lost');
  const outcome = fixture.daemon(second).submit(counter, key, Ok(fitSubmission));
  await fixture.clock.advance(120);
  fixture.network.setFault(second, first, 'none');
  await fixture.clock.advance(1_000);
  assert.is(runStateOf(await outcome), 'complete');
  assert.is(fixture.endpoints.countStarts(1), 1);
  await fixture.close();
});

test('refuses a delayed first copy like the later copy that was refused before it', async () => {
  const fixture = await DaemonFixture.create([first, second]);
  const key = `${fixture.daemon(first).owner()}~a`;
  const fault = createProblem('invalid-request', 'The body is not valid JSON.');
  const refusal = await fixture.daemon(second).submit(counter, key, Err(fault));
  const late = await fixture.daemon(first).submit(counter, key, Ok(fitSubmission));
  assert.is(runStateOf(refusal), 'not-run');
  assert.equal(late, refusal);
  assert.is(fixture.endpoints.starts.length, 0);
  await fixture.close();
});

test('does not report a submission with a conflicting key as not run', async () => {
  const fixture = await DaemonFixture.create([first]);
  const daemon = fixture.daemon(first);
  const key = `${daemon.owner()}~a`;
  const outcome = daemon.submit(counter, key, Ok(fitSubmission));
  const conflict = await daemon.submit(counter, key, Ok(createSubmission('fit', [2])));
  await fixture.clock.advance(1_000);
  assert.is(conflict.kind === 'refused' && conflict.problem.kind, 'key-conflict');
  assert.is(runStateOf(conflict), 'outcome-unknown');
  assert.is(runStateOf(await outcome), 'complete');
  await fixture.close();
});

test('returns the status of a job and cancels it through another daemon', async () => {
  const fixture = await DaemonFixture.create([first, second]);
  const [owner, other] = [fixture.daemon(first), fixture.daemon(second)];
  const key = `${owner.owner()}~a`;
  void owner.submit(counter, key, Ok(fitSubmission));
  await fixture.clock.flushCallbacks();
  const running = await other.status(counter, key, 0);
  assert.is(running.unwrap().state, 'running');
  const cancelled = other.cancel(counter, key);
  await fixture.clock.advance(100);
  assert.is((await cancelled).unwrap().state, 'answered');
  const foreign = await other.status(createCaller('petshop', 'trial'), key, 0);
  assert.is(foreign.isErr() && foreign.error.kind, 'not-found');
  fixture.kill(first);
  const unreachable = other.status(counter, key, 0);
  await fixture.clock.advance(10_000);
  const reply = await unreachable;
  assert.is(reply.isErr() && reply.error.kind, 'outcome-unknown');
  await fixture.close();
});

test('hands its table over to a successor at a planned shutdown', async () => {
  const fixture = await DaemonFixture.create([first, second, third]);
  const owner = fixture.daemon(first);
  const key = `${owner.owner()}~a`;
  const outcome = owner.submit(counter, key, Ok(fitSubmission));
  await fixture.clock.flushCallbacks();
  const stopped = fixture.stop(first);
  const late = await owner.submit(
    counter,
    `${owner.owner()}~late`,
    Ok(createSubmission('fit', [2])),
  );
  assert.is(late.kind === 'refused' && late.problem.kind, 'stopping');
  await fixture.clock.advance(10_000);
  await stopped;
  for (const vmId of [second, third]) {
    const daemon = fixture.daemon(vmId);
    assert.equal(await daemon.submit(counter, key, Ok(fitSubmission)), await outcome);
    assert.equal((await daemon.status(counter, key, 0)).unwrap().state, 'answered');
    const submission = Ok(createSubmission('fit', [2]));
    assert.equal(await daemon.submit(counter, `${owner.owner()}~late`, submission), late);
    const never = await daemon.submit(counter, `${owner.owner()}~never`, submission);
    assert.is(never.kind === 'refused' && never.problem.kind, 'epoch-closed');
    assert.is(runStateOf(never), 'not-run');
  }
  assert.is(fixture.endpoints.countStarts(1), 1);
  assert.is(fixture.endpoints.countStarts(2), 0);
  await fixture.close();
});

test('hands over to a second successor when acknowledgements of the first are lost', async () => {
  const fixture = await DaemonFixture.create([first, second, third]);
  const owner = fixture.daemon(first);
  const key = `${owner.owner()}~a`;
  const outcome = owner.submit(counter, key, Ok(fitSubmission));
  await fixture.clock.advance(500);
  fixture.network.setFault(first, second, 'answer-lost');
  const stopped = fixture.stop(first);
  await fixture.clock.advance(20_000);
  await stopped;
  for (const vmId of [second, third]) {
    assert.equal(fixture.daemon(vmId).fetchInheritance().incarnations, [owner.incarnation]);
    assert.equal(await fixture.daemon(vmId).submit(counter, key, Ok(fitSubmission)), await outcome);
  }
  assert.is(fixture.endpoints.countStarts(1), 1);
  await fixture.close();
});

test('does not report a missing key as not run while an adopted table is incomplete', async () => {
  const fixture = await DaemonFixture.create([first]);
  const successor = fixture.daemon(first);
  const answer = { status: 'complete' as const, results: [1] };
  const record = { state: 'answered' as const, digest: '', answer };
  const reply = successor.handOver({
    incarnation: 'gone',
    oldestEpoch: 1,
    newestEpoch: 2,
    totalRecords: 2,
    records: [{ epoch: 1, callerId: 'counter', key: 'gone.1~a', record }],
  });
  assert.is(reply.isTableComplete, false);
  assert.equal(await successor.submit(counter, 'gone.1~a', Ok(fitSubmission)), {
    kind: 'answered',
    answer,
  });
  assert.is(
    runStateOf(await successor.submit(counter, 'gone.1~b', Ok(fitSubmission))),
    'outcome-unknown',
  );
  assert.is(fixture.endpoints.starts.length, 0);
  await fixture.close();
});

test('hands an adopted table over when the successor shuts down too', async () => {
  const fixture = await DaemonFixture.create([first, second]);
  const owner = fixture.daemon(first);
  const key = `${owner.owner()}~a`;
  const outcome = owner.submit(counter, key, Ok(fitSubmission));
  await fixture.clock.advance(500);
  const firstStop = fixture.stop(first);
  await fixture.clock.advance(10_000);
  await firstStop;
  fixture.start(third);
  await fixture.clock.advance(3_000);
  const secondStop = fixture.stop(second);
  await fixture.clock.advance(10_000);
  await secondStop;
  assert.equal(await fixture.daemon(third).submit(counter, key, Ok(fitSubmission)), await outcome);
  await fixture.close();
});

test.run();
