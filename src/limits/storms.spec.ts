import { Ok } from 'ts-results-es';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Caller } from '../types/inventory.js';
import { DaemonFixture } from '../testing/daemonFixture.js';
import { createCaller, createConfiguration, createSubmission } from '../testing/fixtures.js';

const counter = createCaller('counter');
const member = createCaller('member');
/** Slots of two workers with four each; trial work may hold two of the eight. */
const slots = 8;
/** Run time of every task of `fit`. */
const fitMs = 100;

const createStormFixture = async (submitter: Caller = counter) => {
  const configuration = createConfiguration({ slots: slots / 2 });
  configuration.inventory.callers = [submitter, member];
  const fixture = await DaemonFixture.create(['muenchen-vm1'], configuration);
  const daemon = fixture.daemon('muenchen-vm1');
  const submit = (key: string, tasks: number, caller: Caller = counter) => {
    const submission = createSubmission('fit', new Array(tasks).fill(key), 30_000);
    return daemon.submit(caller, `${daemon.owner()}~${key}`, Ok(submission));
  };
  return { fixture, daemon, submit, configuration };
};

test('answers a storm of resubmissions from one run of the job', async () => {
  const { fixture, daemon, submit } = await createStormFixture();
  const outcomes = Array.from({ length: 1_000 }, () => submit('one', 20));
  await fixture.clock.flushCallbacks();
  assert.is(daemon.daemonStatus().own.waitingTasks, 20 - slots);
  await fixture.clock.advance(1_000);
  const answers = await Promise.all(outcomes);
  assert.ok(answers.every((outcome) => outcome.kind === 'answered'));
  assert.is(fixture.endpoints.starts.length, 20);
  await fixture.close();
});

test('removes waiting tasks when many jobs are cancelled at once', async () => {
  const { fixture, daemon, submit } = await createStormFixture();
  const keys = Array.from({ length: 50 }, (_, i) => `job${i}`);
  const outcomes = keys.map((key) => submit(key, 10));
  await fixture.clock.flushCallbacks();
  const started = fixture.endpoints.starts.length;
  const kept = submit('kept', 3, member);
  const cancelled = keys.map((key) => daemon.cancel(counter, `${daemon.owner()}~${key}`));
  await Promise.all(cancelled);
  await fixture.clock.advance(fitMs * 2);
  assert.is((await kept).kind, 'answered');
  assert.is(daemon.daemonStatus().own.waitingTasks, 0);
  assert.is(fixture.endpoints.starts.length, started + 3);
  for (const outcome of await Promise.all(outcomes)) {
    assert.is(outcome.kind === 'answered' && outcome.answer.status, 'failed');
  }
  await fixture.close();
});

test('moves waiting work behind paying work when its caller becomes a trial caller', async () => {
  const { fixture, submit, configuration } = await createStormFixture();
  void submit('large', 200);
  await fixture.clock.advance(fitMs * 2);
  configuration.inventory.callers = [{ ...counter, class: 'trial' }, member];
  await fixture.publish(2, configuration);
  await fixture.clock.advance(fitMs * 10);
  const before = fixture.endpoints.countStarts('large');
  const startedAtMs = fixture.clock.nowMs();
  const paying = submit('paying', (slots * 3) / 4, member);
  await fixture.clock.advance(fitMs);
  assert.is((await paying).kind, 'answered');
  assert.is(fixture.clock.nowMs() - startedAtMs, fitMs);
  await fixture.clock.advance(fitMs * 9);
  const trialStarts = fixture.endpoints.countStarts('large') - before;
  assert.ok(trialStarts > 0 && trialStarts <= (slots / 4) * 10, `${trialStarts} starts`);
  await fixture.close();
});

test.run();
