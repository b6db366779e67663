import { Err, Ok } from 'ts-results-es';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { claimStream } from '../claims/types.js';
import type { ClaimRecord } from '../claims/types.js';
import { createProblem } from '../errors/problem.js';
import type { SubmitOutcome } from '../ports/peers.js';
import { DaemonFixture } from '../testing/daemonFixture.js';
import { createCaller, createSubmission } from '../testing/fixtures.js';

const counter = createCaller('counter');
const [first, second] = ['muenchen-vm1', 'muenchen-vm2'] as const;
const fitSubmission = createSubmission('fit', [1]);
const signal = new AbortController().signal;

/** The kind and run state of a refusal, or the status of an answer. */
const summarizeOutcome = (outcome: SubmitOutcome): string =>
  outcome.kind === 'refused'
    ? `${outcome.problem.kind} ${outcome.problem.runState}`
    : outcome.answer.status;

test('starts a submission once when two daemons claim its key at the same time', async () => {
  const fixture = await DaemonFixture.create([first, second]);
  const outcomes = [first, second, first].map((vmId) =>
    fixture.daemon(vmId).submit(counter, 'order-1', Ok(fitSubmission)),
  );
  await fixture.clock.advance(5_000);
  for (const outcome of outcomes) {
    assert.is(summarizeOutcome(await outcome), 'complete');
  }
  assert.is(fixture.endpoints.countStarts(1), 1);
  assert.is(
    (await fixture.daemon(second).status(counter, 'order-1', 0)).unwrap().state,
    'answered',
  );
  await fixture.close();
});

test('decides by the log when the reply to an append is lost', async () => {
  const fixture = await DaemonFixture.create([first, second]);
  fixture.log.fault = 'answer-lost';
  const outcome = fixture.daemon(first).submit(counter, 'order-1', Ok(fitSubmission));
  const again = fixture.daemon(second).submit(counter, 'order-1', Ok(fitSubmission));
  await fixture.clock.advance(5_000);
  assert.is(summarizeOutcome(await outcome), 'complete');
  assert.is(summarizeOutcome(await again), 'complete');
  assert.is(fixture.endpoints.countStarts(1), 1);
  await fixture.close();
});

test('accepts owned keys and refuses plain keys while the log is unavailable', async () => {
  const fixture = await DaemonFixture.create([first]);
  const daemon = fixture.daemon(first);
  fixture.log.fault = 'outage';
  const plain = daemon.submit(counter, 'order-1', Ok(fitSubmission));
  const fault = createProblem('invalid-request', 'The body is not valid JSON.');
  const invalid = daemon.submit(counter, 'order-2', Err(fault));
  const owned = daemon.submit(counter, `${daemon.owner()}~a`, Ok(createSubmission('fit', [2])));
  await fixture.clock.advance(5_000);
  assert.is(summarizeOutcome(await plain), 'unavailable outcome-unknown');
  assert.is(summarizeOutcome(await invalid), 'invalid-request outcome-unknown');
  assert.is(summarizeOutcome(await owned), 'complete');
  assert.is(fixture.endpoints.countStarts(1), 0);
  await fixture.close();
});

test('starts a submission once, and only when it is resubmitted, if its claim was appended late', async () => {
  const fixture = await DaemonFixture.create([first, second]);
  fixture.log.appendDelayMs = 4_000;
  const outcome = fixture.daemon(first).submit(counter, 'order-1', Ok(fitSubmission));
  await fixture.clock.advance(3_500);
  assert.is(summarizeOutcome(await outcome), 'unavailable outcome-unknown');
  await fixture.clock.advance(10_000);
  assert.is(fixture.endpoints.countStarts(1), 0);
  const again = [second, first].map((vmId) =>
    fixture.daemon(vmId).submit(counter, 'order-1', Ok(fitSubmission)),
  );
  await fixture.clock.advance(1_000);
  for (const outcome of again) {
    assert.is(summarizeOutcome(await outcome), 'complete');
  }
  assert.is(fixture.endpoints.countStarts(1), 1);
  await fixture.close();
});

test('answers outcome-unknown when the daemon whose claim is first has been killed', async () => {
  const fixture = await DaemonFixture.create([first, second]);
  void fixture.daemon(first).submit(counter, 'order-1', Ok(fitSubmission));
  await fixture.clock.advance(500);
  fixture.kill(first);
  const again = fixture.daemon(second).submit(counter, 'order-1', Ok(fitSubmission));
  await fixture.clock.advance(20_000);
  assert.is(summarizeOutcome(await again), 'outcome-unknown outcome-unknown');
  assert.is(fixture.endpoints.countStarts(1), 1);
  await fixture.close();
});

test('does not start a submission when the log may have discarded an earlier claim', async () => {
  const fixture = await DaemonFixture.create([first, second]);
  void fixture.daemon(first).submit(counter, 'order-1', Ok(fitSubmission));
  await fixture.clock.advance(500);
  fixture.log.retainedRecords = 1;
  const other = fixture.daemon(first).submit(counter, 'order-2', Ok(createSubmission('fit', [2])));
  await fixture.clock.advance(500);
  assert.is(summarizeOutcome(await other), 'complete');
  const late = fixture.start('muenchen-vm3');
  await fixture.clock.advance(3_000);
  const again = late.submit(counter, 'order-1', Ok(fitSubmission));
  await fixture.clock.advance(1_000);
  assert.is(summarizeOutcome(await again), 'outcome-unknown outcome-unknown');
  assert.is(fixture.endpoints.countStarts(1), 1);
  await fixture.close();
});

test('does not start a submission by a later claim when a truncation has dropped the first one', async () => {
  const fixture = await DaemonFixture.create([first, second]);
  const owner = { incarnation: fixture.daemon(second).incarnation, epoch: 1 };
  const winner: ClaimRecord = {
    kind: 'claim',
    callerId: 'counter',
    key: 'order-1',
    owner: { incarnation: 'gone', epoch: 1 },
  };
  await fixture.log.append(claimStream, [winner, { ...winner, owner }], signal);
  await fixture.clock.advance(500);
  fixture.log.retainedRecords = 1;
  await fixture.log.append(claimStream, [{ ...winner, owner }], signal);
  const late = fixture.start('muenchen-vm3');
  await fixture.clock.advance(3_000);
  const again = late.submit(counter, 'order-1', Ok(fitSubmission));
  await fixture.clock.advance(5_000);
  assert.is(summarizeOutcome(await again), 'outcome-unknown outcome-unknown');
  assert.is(fixture.endpoints.countStarts(1), 0);
  await fixture.close();
});

test('refuses a delayed first copy with the refusal on the log', async () => {
  const fixture = await DaemonFixture.create([first, second]);
  const fault = createProblem('invalid-request', 'The body is not valid JSON.');
  const refusal = fixture.daemon(second).submit(counter, 'order-1', Err(fault));
  await fixture.clock.advance(500);
  const late = await fixture.daemon(first).submit(counter, 'order-1', Ok(fitSubmission));
  assert.is(summarizeOutcome(await refusal), 'invalid-request not-run');
  assert.equal(late, await refusal);
  await fixture.close();
});

test('groups claims to stay within the limit of appends per second', async () => {
  const fixture = await DaemonFixture.create([first]);
  const before = fixture.log.appendCount;
  const outcomes: Promise<SubmitOutcome>[] = [];
  for (let i = 0; i < 200; i += 1) {
    const submission = createSubmission('fit', [i], 60_000);
    outcomes.push(fixture.daemon(first).submit(counter, `order-${i}`, Ok(submission)));
    await fixture.clock.advance(5);
  }
  await fixture.clock.advance(30_000);
  for (const outcome of outcomes) {
    assert.is(summarizeOutcome(await outcome), 'complete');
  }
  const appendsIn1S = fixture.log.appendCount - before;
  assert.ok(appendsIn1S <= 27, `${appendsIn1S} appends`);
  await fixture.close();
});

test.run();
