import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Scenario } from '../testing/model/modelEvents.js';
import {
  crashesAfterLeasesScenario,
  crashesAfterUnheardEndsScenario,
  frozenDispatcherOfKilledRequesterScenario,
  refusingWorkerOfLostRequesterScenario,
  startBesideLostRequesterScenario,
} from '../testing/model/reachScenarios.js';
import { runScenario } from '../testing/model/runScenario.js';
import type { ScenarioResult } from '../testing/model/runScenario.js';

/** Runs a scenario, and checks that tasks ran and that no rule was broken. */
const checkScenario = async (scenario: Scenario): Promise<ScenarioResult> => {
  const result = await runScenario(scenario);
  assert.equal(result.violations, []);
  assert.ok(result.runCount > 0);
  return result;
};

// Guards against a run that goes on beside the next attempt of its caller, since no stop reaches its worker.
test('a run that no stop reaches ends before the caller of its lost requester sends the job again', async () => {
  await checkScenario(refusingWorkerOfLostRequesterScenario);
});

// Guards against runs that go on beside the next attempt of their caller, since nobody is there to stop them.
test('the runs of a frozen dispatcher end before the caller of their killed requester sends the job again', async () => {
  await checkScenario(frozenDispatcherOfKilledRequesterScenario);
});

// Guards against a run that is renewed by the start of another caller's task on its worker.
test('a start beside the run of a lost requester does not renew that run', async () => {
  await checkScenario(startBesideLostRequesterScenario);
});

// Guards against a job that is answered as failed because its workers crashed when nothing of it ran there any more.
test('workers that crash after the leases of a task have ended do not end its job', async () => {
  const { answers } = await checkScenario(crashesAfterLeasesScenario);
  assert.equal(answers, ['0000000000000001/0 completed']);
});

// Guards against a job that is answered as failed because its workers crashed when it had ended there, unheard.
test('workers that crash after unheard ends of a task do not fail its job', async () => {
  await checkScenario(crashesAfterUnheardEndsScenario);
});

test.run();
