import { Ok } from 'ts-results-es';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createProblem } from '../errors/problem.js';
import type { Daemon } from '../daemon/daemon.js';
import { DaemonFixture } from '../testing/daemonFixture.js';
import { FakeClock } from '../testing/fakeClock.js';
import { createCaller, createSubmission } from '../testing/fixtures.js';
import { explainJob } from './explainJob.js';
import { JobTraces } from './jobTraces.js';

const counter = createCaller('counter');
const vmId = 'muenchen-vm1';

/** Explains a job, with the varying times and ids stripped or replaced. */
const explain = (daemon: Daemon, key: string): string[] =>
  explainJob(daemon.jobTraces(key).map((trace) => ({ vmId, trace }))).map((line) =>
    line
      .replace(/^.* muenchen-vm1: /, '')
      .replace(/job \w{16}/, 'job ID')
      .replace(/muenchen-\w+-e/, 'ENDPOINT'),
  );

test('explains where each task of an answered job ran, and lists resubmissions', async () => {
  const fixture = await DaemonFixture.create([vmId]);
  const daemon = fixture.daemon(vmId);
  const key = `${daemon.owner()}~a`;
  const outcome = daemon.submit(counter, key, Ok(createSubmission('fit', [1])));
  await fixture.clock.advance(1_000);
  await outcome;
  await daemon.submit(counter, key, Ok(createSubmission('fit', [1])));
  const sentences = explain(daemon, key);
  assert.match(sentences[0] ?? '', /^The submission of 1 tasks came/);
  assert.is(sentences[1], 'It was accepted as job ID.');
  assert.match(sentences[2] ?? '', /^Task 0 was sent to ENDPOINT/);
  assert.match(sentences[3] ?? '', /^Task 0 was done by ENDPOINT in 100 ms/);
  assert.is(sentences[4], 'The whole answer was given.');
  assert.is(sentences[5], 'A resubmission with the same key came in.');
  assert.is(sentences[6], 'Task 0 waited longest for an endpoint: 0 ms.');
  assert.is(sentences.length, 7);
  await fixture.close();
});

test('explains why a job failed, and counts the tasks that were never sent', async () => {
  const fixture = await DaemonFixture.create([vmId]);
  const daemon = fixture.daemon(vmId);
  fixture.endpoints.behaviour = async () => ({
    kind: 'failed',
    fault: 'task',
    detail: 'Too long.',
  });
  const key = `${daemon.owner()}~a`;
  const inputs = Array.from({ length: 100 }, (_, input) => input);
  const outcome = daemon.submit(counter, key, Ok(createSubmission('fit', inputs)));
  await fixture.clock.advance(1_000);
  await outcome;
  const sentences = explain(daemon, key);
  assert.ok(sentences.some((line) => /^Task \d+ failed on ENDPOINT: Too long\.$/.test(line)));
  assert.ok(sentences.some((line) => line.startsWith('The job failed as task-failed (failed)')));
  assert.ok(sentences.some((line) => /^\d+ tasks were never sent to an endpoint\.$/.test(line)));
  await fixture.close();
});

test('explains why a submission was refused', async () => {
  const fixture = await DaemonFixture.create([vmId]);
  const daemon = fixture.daemon(vmId);
  const key = `${daemon.owner()}~a`;
  await daemon.submit(counter, key, Ok(createSubmission('unheard-of', [1])));
  const [, refused] = explain(daemon, key);
  assert.match(refused ?? '', /^It was refused as unknown-operation \(not-run\)/);
  await fixture.close();
});

test('keeps a bounded number of events and evicts the oldest jobs first', () => {
  const traces = JobTraces.create(FakeClock.create(), 10);
  const keys = Array.from({ length: 8 }, (_, i) => `key${i}`);
  for (const key of keys) {
    const submission = { callerId: 'counter', key };
    traces.received(submission, createSubmission('fit', [1]));
    traces.refused(submission, createProblem('overloaded', 'Too much work.'));
  }
  const kept = keys.filter((key) => traces.find(key).length > 0);
  assert.equal(kept, keys.slice(3));
});

test.run();
