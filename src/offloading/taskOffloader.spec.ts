import { Ok } from 'ts-results-es';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Daemon } from '../daemon/daemon.js';
import type { JobAnswer } from '../types/jobs.js';
import type { SubmitOutcome } from '../ports/peers.js';
import { DaemonFixture } from '../testing/daemonFixture.js';
import { createCaller, createConfiguration, createSubmission } from '../testing/fixtures.js';

const counter = createCaller('counter');
const vmIds = ['muenchen-vm1', 'muenchen-vm2'] as const;
const inputs = Array.from({ length: 16 }, (_, i) => i);

/** Two daemons of one failure domain that share eight endpoints of two slots each. */
const createFixture = () =>
  DaemonFixture.create(vmIds, createConfiguration({ workersPerFailureDomain: 8, slots: 2 }));

const submit = (daemon: Daemon, operation = 'fit'): Promise<SubmitOutcome> =>
  daemon.submit(counter, `${daemon.owner()}~a`, Ok(createSubmission(operation, inputs)));

const answerOf = (outcome: SubmitOutcome): JobAnswer => {
  if (outcome.kind !== 'answered') {
    throw new Error('The job was refused.');
  }
  return outcome.answer;
};

/** Largest number of starts of any task. */
const countMaxStarts = (fixture: DaemonFixture): number =>
  Math.max(...inputs.map((input) => fixture.endpoints.countStarts(input)));

/** Whether both daemons started tasks. */
const wasOffloaded = (fixture: DaemonFixture): boolean =>
  new Set(fixture.endpoints.starts.map(({ incarnation }) => incarnation)).size === 2;

test('uses the endpoints of the whole failure domain for one job', async () => {
  const fixture = await createFixture();
  const startedAtMs = fixture.clock.nowMs();
  const answered = submit(fixture.daemon('muenchen-vm1')).then(() => fixture.clock.nowMs());
  await fixture.clock.advance(2_000);
  assert.is((await answered) - startedAtMs, 100);
  assert.ok(wasOffloaded(fixture));
  assert.is(countMaxStarts(fixture), 1);
  await fixture.close();
});

test('runs the tasks locally where the link was cut before they were sent', async () => {
  const fixture = await createFixture();
  fixture.network.setCut(...vmIds, true);
  const outcome = submit(fixture.daemon('muenchen-vm1'));
  await fixture.clock.advance(2_000);
  assert.is(answerOf(await outcome).status, 'complete');
  assert.not.ok(wasOffloaded(fixture));
  assert.is(countMaxStarts(fixture), 1);
  await fixture.close();
});

test('repeats the request to the same incarnation after a lost answer', async () => {
  const fixture = await createFixture();
  fixture.network.setFault(...vmIds, 'answer-lost');
  const outcome = submit(fixture.daemon('muenchen-vm1'));
  await fixture.clock.advance(150);
  fixture.network.setFault(...vmIds, 'none');
  await fixture.clock.advance(2_000);
  assert.is(answerOf(await outcome).status, 'complete');
  assert.ok(wasOffloaded(fixture));
  assert.is(countMaxStarts(fixture), 1);
  await fixture.close();
});

test('reports an unknown outcome where the link stays broken after sending', async () => {
  const fixture = await createFixture();
  const outcome = submit(fixture.daemon('muenchen-vm1'));
  await fixture.clock.advance(50);
  fixture.network.setCut(...vmIds, true);
  await fixture.clock.advance(8_000);
  const answer = answerOf(await outcome);
  assert.is(answer.status === 'failed' && answer.problem.kind, 'outcome-unknown');
  assert.is(countMaxStarts(fixture), 1);
  await fixture.close();
});

test('stops offloaded tasks at the endpoints when their job is cancelled', async () => {
  const fixture = await createFixture();
  const daemon = fixture.daemon('muenchen-vm1');
  const outcome = submit(daemon, 'grade');
  await fixture.clock.advance(50);
  await daemon.cancel(counter, `${daemon.owner()}~a`);
  await fixture.clock.flushCallbacks();
  assert.is(answerOf(await outcome).status, 'failed');
  assert.is(fixture.endpoints.cancelled.length, inputs.length);
  await fixture.close();
});

test('starts no task that was sent to another incarnation', async () => {
  const fixture = await createFixture();
  const task = {
    taskId: 'old-1',
    pass: 1,
    jobId: 'old',
    callerId: 'counter',
    teamId: 'counter-team',
    callerClass: 'paying' as const,
    operationId: 'fit',
    input: 1,
    timeLeftMs: 1_000,
  };
  const request = { incarnation: 'gone', tasks: [task] };
  const reply = await fixture.daemon('muenchen-vm1').passTasks(request);
  assert.equal(reply, { kind: 'other-incarnation' });
  assert.is(fixture.endpoints.starts.length, 0);
  await fixture.close();
});

test.run();
