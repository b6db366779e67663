import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  badEntryScenario,
  calmScenario,
  cancelledBeforeRestartScenario,
  cancelledBehindCutScenario,
  cancelledElsewhereScenario,
  cutOffWorkersScenario,
  entryWithoutStartScenario,
  frozenDaemonScenario,
  heldUpNewcomerScenario,
  heldUpRepeatScenario,
  killedRequesterScenario,
  plannedStopScenario,
  restartedWorkerScenario,
} from '../testing/model/scenarios.js';
import type { Scenario } from '../testing/model/modelEvents.js';
import { runScenario } from '../testing/model/runScenario.js';
import type { ScenarioResult } from '../testing/model/runScenario.js';

const firstJob = '0000000000000001';

/** Runs a scenario, and checks that tasks ran and that no rule was broken. */
const checkScenario = async (scenario: Scenario): Promise<ScenarioResult> => {
  const result = await runScenario(scenario);
  assert.equal(result.violations, []);
  assert.ok(result.runCount > 0);
  return result;
};

/** Runs a scenario, and checks the answer to the only attempt of the first job, too. */
const checkFirstAnswer = async (scenario: Scenario, kind: string): Promise<void> => {
  const { answers } = await checkScenario(scenario);
  assert.equal(
    answers.filter((answer) => answer.startsWith(firstJob)),
    [`${firstJob}/0 ${kind}`],
  );
};

// Guards against a model in which nothing runs, which would show no failure.
test('without faults, every task of every job runs once', async () => {
  const { runCount, answers } = await checkScenario(calmScenario);
  assert.is(runCount, 10);
  assert.equal(answers, [`${firstJob}/0 completed`, '0000000000000002/0 completed']);
});

// Guards against jobs that are answered as failed because their workers were out of reach for a while.
test('cut-off workers do not count as crashed', async () => {
  await checkFirstAnswer(cutOffWorkersScenario, 'completed');
});

// Guards against tasks that start again while their runs at a stopping daemon go on.
test('a planned stop returns no task whose run goes on', async () => {
  await checkFirstAnswer(plannedStopScenario, 'completed');
});

// Guards against runs of a killed requester that go on beside the next attempt of its client.
test('the runs of a killed requester end before its client sends the job again', async () => {
  await checkScenario(killedRequesterScenario);
});

// Guards against tasks that start again while they run in the new lifetime of their worker.
test('a restart does not end the runs that began after it', async () => {
  await checkFirstAnswer(restartedWorkerScenario, 'completed');
});

// Guards against tasks that start again beside their runs when another writer changes the worker's entry.
test('an entry without the start of its worker ends no run', async () => {
  await checkFirstAnswer(entryWithoutStartScenario, 'completed');
});

// Guards against a request that waited in a frozen process and runs beside the next attempt of its client.
test('a process that wakes starts no job whose client has left', async () => {
  const { answers } = await checkScenario(frozenDaemonScenario);
  assert.is(answers.at(-1), '0000000000000002/1 completed');
});

// Guards against a job that runs on after its client was told that it is cancelled or not known.
test('a cancellation at another daemon stops the job', async () => {
  await checkFirstAnswer(cancelledElsewhereScenario, 'cancelled');
});

// Guards against a caller that is told of no such job, while the daemon that runs it is cut off.
test('a cancellation across a cut is not answered until the daemon that runs the job is told', async () => {
  await checkScenario(cancelledBehindCutScenario);
});

// Guards against a faulty entry that ends the processes of the daemons which serve its shard.
test('an entry with an unusable address does no harm', async () => {
  await checkFirstAnswer(badEntryScenario, 'completed');
});

// Guards against a batch that was returned as running nowhere and starts with its repeat.
test('a returned batch does not start when its repeat arrives', async () => {
  await checkScenario(heldUpRepeatScenario);
});

// Guards against a batch of a newly started requester that starts seconds late, beside the next attempt.
test('a batch of unknown age that was held up does not start', async () => {
  await checkScenario(heldUpNewcomerScenario);
});

// Guards against a cancelled job that runs, since the daemon that gets its request has restarted after the cancellation.
test('a daemon that has restarted starts no job that was cancelled before', async () => {
  const { runCount, answers } = await checkScenario(cancelledBeforeRestartScenario);
  assert.is(runCount, 2, 'the runs of the first attempt');
  assert.equal(answers, [`${firstJob}/0 given-up`, `${firstJob}/1 cancelled`]);
});

test.run();
