import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { batchFixture } from '../testing/dispatchFixtures.js';
import { createRun } from './activeRun.js';
import type { ActiveRun } from './activeRun.js';
import { OpenBatch } from './openBatch.js';
import { evidenceOfSilence, judgeSilence } from './silenceEvidence.js';
import type { SilentWorker } from './silenceEvidence.js';

const createStarted = (startedAtMs: number | undefined): ActiveRun => {
  const [task] = OpenBatch.create('vm', batchFixture, 0).tasks;
  assert.ok(task);
  const needs = batchFixture.needs.resources;
  return { ...createRun({ task, taskName: 't', needs, expectedMs: 100 }, 0), startedAtMs };
};

const accepted = createStarted(10);
const unanswered = createStarted(undefined);
const silentWorker: SilentWorker = {
  ...{ haveAllLeasesEnded: true, cause: 'silent', addressee: 'worker' },
};

// Guards against a second start while a worker is silent.
test('silence proves nothing before all leases have ended', () => {
  const leased = { ...silentWorker, haveAllLeasesEnded: false };
  assert.is(evidenceOfSilence(accepted, leased).kind, 'unknown');
  assert.is(evidenceOfSilence(unanswered, leased).kind, 'unknown');
  assert.equal(evidenceOfSilence(accepted, silentWorker), { kind: 'lapsed', cause: 'silent' });
});

// Guards against a run that an order of before a crash starts in the next lifetime, beside another run of its task.
test('leases that have ended leave a start in doubt that was never answered', () => {
  assert.is(evidenceOfSilence(unanswered, silentWorker).kind, 'start-in-doubt');
  const draining = { ...silentWorker, cause: 'draining' } as const;
  assert.is(evidenceOfSilence(unanswered, draining).kind, 'start-in-doubt');
  assert.equal(judgeSilence([accepted, unanswered], silentWorker), {
    ended: [{ run: accepted, evidence: { kind: 'lapsed', cause: 'silent' } }],
    inDoubt: [unanswered],
  });
});

// Guards against a fence, which binds only in its lifetime, as proof that the next one does not carry a start out.
test('a start in doubt stays so where the worker refuses its fencing token', () => {
  const fenced = { ...silentWorker, cause: 'fenced' } as const;
  assert.is(evidenceOfSilence(unanswered, fenced).kind, 'start-in-doubt');
  assert.equal(evidenceOfSilence(accepted, fenced), { kind: 'lapsed', cause: 'fenced' });
});

// Guards against callers who wait for a start that nobody can carry out any more.
test('a start that nobody carries out any more is over with the leases', () => {
  const gone = { ...silentWorker, addressee: 'nobody' } as const;
  assert.equal(evidenceOfSilence(unanswered, gone), { kind: 'lapsed', cause: 'silent' });
});

test.run();
