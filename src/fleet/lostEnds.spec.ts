import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { manyHeldJobs } from '../testing/model/heldJobScenarios.js';
import {
  lateAnswersToWaitingAttempts,
  lostEndAcrossDomains,
  lostEndAndHeardClaim,
  lostEndAndUnheardClaim,
  lostEndInDomain,
} from '../testing/model/lostEndScenarios.js';
import type { Scenario } from '../testing/model/modelEvents.js';
import { runScenario } from '../testing/model/runScenario.js';

const checkScenario = async (scenario: Scenario): Promise<void> => {
  const { violations, runCount } = await runScenario(scenario);
  assert.equal(violations, []);
  assert.ok(runCount > 0);
};

// Guards against a job that starts beside its first attempt, whose caller has left unnoticed, in another failure domain.
test('no next attempt in another failure domain runs beside the first one, whose end was lost', async () => {
  await checkScenario(lostEndAcrossDomains);
});

// Guards against the same where both daemons are in one failure domain and tell each other all along.
test('no next attempt in the same failure domain runs beside the first one, whose end was lost', async () => {
  await checkScenario(lostEndInDomain);
});

// Guards against the same where the first daemon holds more jobs than one heartbeat repeats.
test('no next attempt runs beside the first one at a daemon that holds many jobs', async () => {
  await checkScenario(manyHeldJobs);
});

// Guards against two attempts that wait for each other and both start, since each compares an age of its own with an old one.
test('of two attempts that wait for each other one starts, however late their answers are', async () => {
  await checkScenario(lateAnswersToWaitingAttempts);
});

// Guards against a next attempt that starts beside the first one where the daemons are slow, so that what they tell each other is as late as what callers send.
test('no next attempt runs beside the first one at slow daemons, whose end was lost', async () => {
  await checkScenario(lostEndAndHeardClaim);
});

// Guards against the same where the next attempt is read before the word of the one that runs.
test('no next attempt runs beside the first one at slow daemons, before its claim is heard', async () => {
  await checkScenario(lostEndAndUnheardClaim);
});

test.run();
