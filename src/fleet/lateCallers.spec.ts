import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Scenario } from '../testing/model/modelEvents.js';
import { runScenario } from '../testing/model/runScenario.js';
import { createLateCallerPairs } from '../testing/model/walk/lateCallerWalk.js';

const checkScenarios = async (scenarios: readonly Scenario[]): Promise<void> => {
  assert.ok(scenarios.length > 0);
  for (const scenario of scenarios) {
    const { violations } = await runScenario(scenario);
    assert.equal(violations, [], JSON.stringify(scenario));
  }
};

/** The scenarios of callers that leave at their deadline, for a fault of their link and of a worker. */
const scenariosOf = (fault: string, cut: string, chosen: readonly number[]): Scenario[] => {
  const name = `${fault}, caller leaves at its deadline`;
  const pairs = createLateCallerPairs();
  const pair = pairs.find(({ troubles }) => troubles[0] === name && troubles[1] === cut);
  return chosen.flatMap((position) => pair?.scenarios[position] ?? []);
};

// Guards against runs that go on beside the next attempt of a caller whose request was read late, with no other trouble.
test('a run of a request that was read late ends before its caller comes back', async () => {
  await checkScenarios(scenariosOf('callers 1300 ms late', 'none', [0, 2, 4, 5]));
});

// Guards against leases that outlast the next attempt of a caller whose request was read late, where no stop arrives.
test('no lease of a request that was read late outlasts the return of its caller', async () => {
  await checkScenarios([
    ...scenariosOf('callers 900 ms late', 'silent', [18, 30, 54, 66]),
    ...scenariosOf('callers 1100 ms late', 'held-up', [19, 57, 68, 70]),
    ...scenariosOf('callers 1300 ms late', 'silent', [18, 30, 56, 69]),
  ]);
});

// Guards against leases that are renewed for a caller who has left, where the end of its connection is lost.
test('no lease outlasts the return of a caller whose end is lost', async () => {
  await checkScenarios(scenariosOf('ends of callers lost', 'silent', [18, 30, 54, 66]));
});

test.run();
