import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { decideAdmission } from './admissionDecision.js';
import type { AdmissionInput } from './admissionDecision.js';

/** A job of 100 ms with 100 ms of slack, while less is free than more urgent routes need. */
const scarce: AdmissionInput = {
  objectiveInMs: 200,
  latestEndInMs: 200,
  runMs: 100,
  slackMs: 100,
  reserve: { reservedCpuMillis: 32_000, freeCpuMillis: 8_000, servedShare: 1 },
};
const withReserve = (changes: Partial<NonNullable<AdmissionInput['reserve']>>): AdmissionInput => ({
  ...scarce,
  reserve: { reservedCpuMillis: 32_000, freeCpuMillis: 8_000, servedShare: 1, ...changes },
});

// Guards against less urgent jobs that take the last free cores before more urgent ones, though they could still wait.
test('a job waits while less is free than more urgent routes need, and its objective permits it', () => {
  assert.is(decideAdmission(scarce).kind, 'wait');
  assert.is(decideAdmission(withReserve({ freeCpuMillis: 32_000 })).kind, 'admit');
});

// Guards against a job that waits for its deadline although it can no longer end in time.
test('a job whose slack is used up is refused at once', () => {
  const decision = decideAdmission({ ...scarce, objectiveInMs: 110, latestEndInMs: 110 });
  assert.is(decision.kind, 'refuse');
});

// Guards against a route that gets nothing while more urgent routes have enough jobs.
test('a route of which little was admitted lately leaves nothing free', () => {
  assert.is(decideAdmission(withReserve({ servedShare: 0.2 })).kind, 'admit');
});

// Guards against a reserve that a job meets again and again until its objective has passed.
test('a job that has waited leaves less free', () => {
  const half = withReserve({ freeCpuMillis: 24_000 });
  assert.is(decideAdmission(half).kind, 'wait');
  assert.is(decideAdmission({ ...half, objectiveInMs: 130 }).kind, 'admit');
});

// Guards against jobs of equal priority that are treated otherwise than by their plan.
test('without more urgent demand the plan decides', () => {
  const alone: AdmissionInput = { ...scarce, reserve: undefined };
  const plan = { longestWaitMs: 50, endsInMs: 199 };
  assert.is(decideAdmission({ ...alone, plan }).kind, 'admit');
  assert.equal(decideAdmission({ ...alone, plan: { ...plan, endsInMs: 230 } }), {
    ...{ kind: 'refuse', cause: 'late', lateMs: 30 },
  });
  assert.is(decideAdmission({ ...alone, plan: { longestWaitMs: 0, endsInMs: 230 } }).kind, 'admit');
});

test.run();
