import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Scenario } from '../testing/model/modelEvents.js';
import { runScenario } from '../testing/model/runScenario.js';
import {
  frozenSlowRequester,
  killedSlowRequester,
  lateAcceptedRequests,
} from '../testing/model/slowScenarios.js';
import type { Combination } from '../testing/model/walk/pairWalk.js';
import { samplePairs } from '../testing/model/walk/samplePairs.js';
import { createSlowDaemonPairs } from '../testing/model/walk/slowDaemonWalk.js';

const moments = 12;
const sample = { count: 16, seed: 1 };

const checkScenarios = async (scenarios: readonly Scenario[]): Promise<void> => {
  assert.ok(scenarios.length > 0);
  for (const scenario of scenarios) {
    const { violations } = await runScenario(scenario);
    assert.equal(violations, [], JSON.stringify(scenario.events));
  }
};

/** Whether a job waits behind other connections to the slow daemon. */
const isWaiting = ({ troubles }: Combination): boolean =>
  troubles.some((name) => name.endsWith('behind connections'));

// Guards against runs that outlast the time until the caller is back, since their daemons take long for each step.
test('no sampled trouble beside a slow daemon breaks a rule', async () => {
  const pairs = await createSlowDaemonPairs(moments);
  await checkScenarios(
    samplePairs(
      pairs.filter((one) => !isWaiting(one)),
      sample,
    ),
  );
});

// Guards against runs of a job whose request waited behind other connections until its caller had left and come back.
test('no job starts that is read by a slow daemon after its caller has left', async () => {
  const pairs = await createSlowDaemonPairs(moments);
  await checkScenarios(samplePairs(pairs.filter(isWaiting), sample));
});

// Guards against leases by the word of a slow requester that had not read yet that its caller had left.
test('no lease outlasts the time until the caller is back after the last word of a slow requester', async () => {
  await checkScenarios([killedSlowRequester, frozenSlowRequester]);
});

// Guards against a first attempt that has waited in the accept queue and runs beside the next one, where the end of its
// connection is lost.
test('no job starts whose request has waited for its connection until its caller is back', async () => {
  await checkScenarios(lateAcceptedRequests);
});

test.run();
