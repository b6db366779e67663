import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { ConfigurationStore } from '../configuration/configurationStore.js';
import type { ActiveConfiguration } from '../configuration/configurationStore.js';
import type { CallerClass } from '../types/inventory.js';
import type { QuotaLimit } from '../limits/quotaLimiter.js';
import { TaskQueue } from '../queue/taskQueue.js';
import { FakeClock } from '../testing/fakeClock.js';
import { FakeProcessLoad } from '../testing/fakeProcessLoad.js';
import {
  createCaller,
  createConfiguration,
  createRecord,
  createSubmission,
} from '../testing/fixtures.js';
import { createWaitingTask } from '../testing/queueFixtures.js';
import { AdmissionControl } from './admissionControl.js';

const counter = createCaller('counter');
const petshop = createCaller('petshop', 'trial');
/** Two workers with four slots each; trial work may use two of the slots. */
const totalSlots = 8;

interface AdmissionFixture {
  readonly active: ActiveConfiguration;
  readonly queue: TaskQueue;
  readonly load: FakeProcessLoad;
  readonly admission: AdmissionControl;
}

const createFixture = (freePeerSlots = 0, quota?: QuotaLimit): AdmissionFixture => {
  const configuration = createConfiguration({ slots: totalSlots / 2 });
  const store = ConfigurationStore.create();
  store.apply(createRecord(1, configuration));
  const active = store.current;
  assert.ok(active);
  const queue = TaskQueue.create(FakeClock.create());
  queue.trialCap.setEndpoints([...active.inventory.endpoints.values()]);
  queue.trialCap.setShare(active.rules.trialSlotShare);
  const load = FakeProcessLoad.create();
  const admission = AdmissionControl.create({
    queue,
    processLoad: load,
    freePeerSlots: () => freePeerSlots,
    quotaLimitOf: () => quota,
  });
  return { active, queue, load, admission };
};

const tasksPerWaitingJob = 220;

/** Fills the queue with tasks of 100 ms each. */
const pushWaiting = (
  { active, queue }: AdmissionFixture,
  count: number,
  teamId: string,
  callerClass: CallerClass = 'paying',
): void => {
  const operation = active.inventory.operations.get('fit');
  assert.ok(operation);
  for (let index = 0; index < count; index += 1) {
    const jobId = `${teamId}-${callerClass}-job${Math.floor(index / tasksPerWaitingJob)}`;
    queue.push(createWaitingTask({ jobId, teamId, callerClass, operation, index }));
  }
};

test('refuses a job that cannot meet its deadline and returns when to retry', () => {
  const fixture = createFixture();
  pushWaiting(fixture, 80, 'counter-team');
  const large = createSubmission('fit', new Array(100).fill(0), 600);
  const problem = fixture.admission.check(counter, large, fixture.active);
  assert.ok(problem);
  assert.is(problem.kind, 'deadline-too-short');
  assert.is(problem.runState, 'not-run');
  // 80 tasks of 100 ms on 8 slots take 1,000 ms, 400 ms more than the deadline.
  assert.is(problem.retryAfterMs, 400);
  const patient = { ...large, deadlineMs: 1_000 };
  assert.is(fixture.admission.check(counter, patient, fixture.active), undefined);
});

test('refuses a job when the queue is too long and returns when to retry', () => {
  const fixture = createFixture();
  pushWaiting(fixture, 780, 'counter-team');
  const large = createSubmission('fit', new Array(230).fill(0), 60_000);
  assert.is(fixture.admission.check(counter, large, fixture.active), undefined);
  pushWaiting(fixture, 1_000, 'other-team');
  const problem = fixture.admission.check(counter, large, fixture.active);
  assert.ok(problem);
  assert.is(problem.kind, 'overloaded');
  // 1,780 tasks of 100 ms on 8 slots take 22,250 ms, 12,250 ms more than `maxQueueMs` allows.
  assert.is(problem.retryAfterMs, 12_250);
});

test('accepts a short job of one team while another team has flooded the queue', () => {
  const fixture = createFixture();
  pushWaiting(fixture, 700, 'flood-team');
  const short = createSubmission('fit', [1], 300);
  assert.is(fixture.admission.check(counter, short, fixture.active), undefined);
  const own = { ...counter, teamId: 'flood-team' };
  const large = createSubmission('fit', new Array(230).fill(0), 300);
  assert.is(fixture.admission.check(own, large, fixture.active)?.kind, 'deadline-too-short');
});

test('counts paying work ahead of a trial job, but no trial work ahead of a paying job', () => {
  const fixture = createFixture();
  pushWaiting(fixture, 40, 'petshop-team', 'trial');
  const short = createSubmission('fit', [1], 150);
  assert.is(fixture.admission.check(counter, short, fixture.active), undefined);
  assert.is(fixture.admission.check(petshop, short, fixture.active), undefined);
  pushWaiting(fixture, 40, 'counter-team');
  assert.is(fixture.admission.check(counter, short, fixture.active), undefined);
  const problem = fixture.admission.check(petshop, short, fixture.active);
  assert.ok(problem);
  assert.is(problem.kind, 'deadline-too-short');
});

test('ignores the declared run time of an operation until a run time was observed', () => {
  const fixture = createFixture();
  const grade = fixture.active.inventory.operations.get('grade');
  assert.ok(grade);
  const tight = createSubmission('grade', [1], 200);
  assert.is(fixture.admission.check(counter, tight, fixture.active), undefined);
  fixture.queue.runTimes.record('endpoint', grade, 400);
  const problem = fixture.admission.check(counter, tight, fixture.active);
  assert.ok(problem);
  assert.is(problem.kind, 'deadline-too-short');
  assert.is(problem.retryAfterMs, undefined);
});

test('counts the free slots of peers in the expected wait', () => {
  const alone = createFixture();
  const helped = createFixture(8);
  const large = createSubmission('fit', new Array(100).fill(0), 600);
  for (const fixture of [alone, helped]) {
    pushWaiting(fixture, 80, 'counter-team');
  }
  assert.is(alone.admission.check(counter, large, alone.active)?.kind, 'deadline-too-short');
  assert.is(helped.admission.check(counter, large, helped.active), undefined);
});

test('sheds trial work first, then all work, by event loop delay, memory and queue time', () => {
  const short = createSubmission('fit', [1]);
  const kinds = (fixture: AdmissionFixture) =>
    [petshop, counter].map(
      (caller) => fixture.admission.check(caller, short, fixture.active)?.kind ?? 'accepted',
    );
  const none = ['accepted', 'accepted'];
  const trial = ['overloaded', 'accepted'];
  const all = ['overloaded', 'overloaded'];
  const fixture = createFixture();
  assert.equal(kinds(fixture), none);
  fixture.load.loopDelayMs = 60;
  assert.equal(kinds(fixture), trial);
  fixture.load.loopDelayMs = 300;
  assert.equal(kinds(fixture), all);
  fixture.load.loopDelayMs = 0;
  fixture.load.usedMemoryShare = 0.7;
  assert.equal(kinds(fixture), trial);
  fixture.load.usedMemoryShare = 0.9;
  assert.equal(kinds(fixture), all);
  fixture.load.usedMemoryShare = 0;
  pushWaiting(fixture, 401, 'flood-team');
  assert.equal(kinds(fixture), trial);
});

test('refuses jobs while too many input bytes are held, and releases them with the answer', async () => {
  const { admission, active } = createFixture();
  const short = createSubmission('fit', [1]);
  const large = createSubmission('fit', ['x'.repeat(1_048_576)]);
  let answer!: () => void;
  const answered = new Promise<void>((resolve) => {
    answer = resolve;
  });
  for (let i = 0; i < 64; i += 1) {
    admission.hold(large, answered);
  }
  assert.is(admission.check(counter, short, active)?.kind, 'overloaded');
  answer();
  await answered;
  await Promise.resolve();
  assert.is(admission.check(petshop, short, active), undefined);
});

test('refuses a job that cannot end in time within the quota of its team and returns when to retry', () => {
  const fixture = createFixture(0, { startsPerS: 50, slots: 4 });
  const fit = fixture.active.inventory.operations.get('fit');
  assert.ok(fit);
  fixture.queue.runTimes.record('endpoint', fit, 100);
  const small = createSubmission('fit', new Array(40).fill(0), 1_000);
  assert.is(fixture.admission.check(counter, small, fixture.active), undefined);
  pushWaiting(fixture, 40, 'counter-team');
  const problem = fixture.admission.check(counter, small, fixture.active);
  assert.ok(problem);
  assert.is(problem.kind, 'over-quota');
  // 80 tasks of 100 ms on 4 slots take 2,000 ms, 1,000 ms more than the deadline.
  assert.is(problem.retryAfterMs, 1_000);
  const other = { ...counter, teamId: 'other-team' };
  assert.is(fixture.admission.check(other, small, fixture.active), undefined);
});

test('refuses an input that is larger than its operation allows', () => {
  const { admission, active } = createFixture();
  const submission = createSubmission('fit', [1, 'x'.repeat(65_536)]);
  const problem = admission.check(counter, submission, active);
  assert.ok(problem);
  assert.is(problem.kind, 'too-large');
  assert.is(problem.where, 'tasks[1].input');
});

test.run();
