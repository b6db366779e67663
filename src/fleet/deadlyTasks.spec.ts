import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  crashFoundBeforeKillScenarios,
  lossesOfKilledDaemonScenario,
  lossesOfTwoDaemonsScenario,
  overdueDeadlyTaskScenario,
} from '../testing/model/deadlyScenarios.js';
import type { Scenario } from '../testing/model/modelEvents.js';
import { runScenario } from '../testing/model/runScenario.js';

/** Runs a scenario, and checks that it crashes workers and that no rule was broken. */
const checkScenario = async (scenario: Scenario): Promise<void> => {
  const { violations, runCount } = await runScenario(scenario);
  assert.equal(violations, []);
  assert.ok(runCount > 2);
};

// Guards against a deadly task that goes on, since each of two daemons takes its own loss for that of the other.
test('a task that crashes workers of two daemons is not started three times more', async () => {
  await checkScenario(lossesOfTwoDaemonsScenario);
});

// Guards against a deadly task that goes on at a daemon that has restarted, and awaits no answer that another one awaits.
test('a task that crashes workers is not started three times more when a daemon is killed meanwhile', async () => {
  await checkScenario(lossesOfKilledDaemonScenario);
});

// Guards against a start too many, since the one before was stopped at the end of its job, which is no loss.
test('a start that is stopped after three possible crashes of its task counts', async () => {
  await checkScenario(overdueDeadlyTaskScenario);
});

// Guards against a sixth start of a task that crashes its workers, since the proof of a crash ended with the daemon that had it.
test('a crash that is found likely is known after its daemon is killed', async () => {
  for (const scenario of crashFoundBeforeKillScenarios) {
    await checkScenario(scenario);
  }
});

test.run();
