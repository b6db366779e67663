import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Scenario } from '../testing/model/modelEvents.js';
import { runScenario } from '../testing/model/runScenario.js';
import {
  repeatedWhileUnlistedScenario,
  unlistedAfterRestartScenario,
  unlistedLabelScenario,
} from '../testing/model/unlistedWorkerScenarios.js';

/** Runs a scenario of two jobs, the first while its worker is not listed, the second once it is back. */
const checkScenario = async (scenario: Scenario): Promise<void> => {
  const { violations, answers } = await runScenario(scenario);
  assert.equal(violations, []);
  assert.equal(answers, ['0000000000000001/0 refused', '0000000000000002/0 completed']);
};

// Guards against a job that is answered as failed since the only worker with its label is not listed for a while.
test('a job whose worker is not listed at the moment is refused for now', async () => {
  await checkScenario(unlistedLabelScenario);
});

// Guards against a daemon that takes what it has seen since its start for all that there is.
test('a restarted daemon refuses a job for now whose worker it has never seen', async () => {
  await checkScenario(unlistedAfterRestartScenario);
});

// Guards against a job that is answered as failed at another daemon, though its first attempt was at work.
test('a repeated request at another daemon is refused for now while its worker is not listed', async () => {
  const { violations, answers, runCount } = await runScenario(repeatedWhileUnlistedScenario);
  assert.equal(violations, []);
  assert.equal(answers, [
    '0000000000000001/0 none',
    '0000000000000001/1 refused',
    '0000000000000002/0 completed',
  ]);
  assert.is(runCount, 2);
});

test.run();
