import { Ok } from 'ts-results-es';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DaemonFixture } from '../testing/daemonFixture.js';
import { createCaller, createSubmission } from '../testing/fixtures.js';

const counter = createCaller('counter');

test('answers a job with every result, in the order of its tasks', async () => {
  const fixture = await DaemonFixture.create(['muenchen-vm1']);
  const daemon = fixture.daemon('muenchen-vm1');
  const submission = createSubmission('fit', [1, 2, 3, 4, 5, 6]);
  const outcome = daemon.submit(counter, `${daemon.owner()}~a`, Ok(submission));
  await fixture.clock.advance(1_000);
  assert.equal(await outcome, {
    kind: 'answered',
    answer: { status: 'complete', results: [1, 2, 3, 4, 5, 6] },
  });
  assert.is(fixture.endpoints.starts.length, 6);
  await fixture.close();
});

test('answers a resubmission from the running job, also through another daemon, and starts no task twice', async () => {
  const fixture = await DaemonFixture.create(['muenchen-vm1', 'muenchen-vm2']);
  const first = fixture.daemon('muenchen-vm1');
  const second = fixture.daemon('muenchen-vm2');
  const submission = createSubmission('fit', [1, 2]);
  const key = `${first.owner()}~a`;
  const outcomes = [
    first.submit(counter, key, Ok(submission)),
    first.submit(counter, key, Ok(submission)),
    second.submit(counter, key, Ok(submission)),
  ];
  await fixture.clock.advance(1_000);
  for (const outcome of outcomes) {
    assert.is((await outcome).kind, 'answered');
  }
  assert.is(fixture.endpoints.countStarts(1), 1);
  assert.is(fixture.endpoints.countStarts(2), 1);
  await fixture.close();
});

test('repeats the refusal of the first copy for a resubmission', async () => {
  const fixture = await DaemonFixture.create(['muenchen-vm1']);
  const daemon = fixture.daemon('muenchen-vm1');
  const key = `${daemon.owner()}~a`;
  const first = await daemon.submit(counter, key, Ok(createSubmission('unheard-of', [1])));
  const second = await daemon.submit(counter, key, Ok(createSubmission('unheard-of', [1])));
  assert.is(first.kind === 'refused' && first.problem.runState, 'not-run');
  assert.equal(second, first);
  await fixture.close();
});

test('does not show one caller the job of another', async () => {
  const fixture = await DaemonFixture.create(['muenchen-vm1']);
  const daemon = fixture.daemon('muenchen-vm1');
  const key = `${daemon.owner()}~a`;
  const outcome = daemon.submit(counter, key, Ok(createSubmission('fit', [1])));
  await fixture.clock.advance(1_000);
  await outcome;
  const status = await daemon.status(createCaller('petshop', 'trial'), key, 0);
  assert.is(status.isErr() && status.error.kind, 'not-found');
  await fixture.close();
});

test.run();
