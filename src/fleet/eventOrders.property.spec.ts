import fc from 'fast-check';
import { test } from 'uvu';
import { scenarioArbitrary } from '../testing/model/eventArbitraries.js';
import { runScenario } from '../testing/model/runScenario.js';

const seed = 1;
const scenarioCount = 16;

// Guards against double runs and untrue answers after orders of events that no scenario names.
test('no random order of events breaks a rule', async () => {
  const property = fc.asyncProperty(fc.noBias(scenarioArbitrary), async (scenario) => {
    const [violation] = (await runScenario(scenario)).violations;
    if (violation !== undefined) {
      throw new Error(`${violation.rule}: ${violation.detail}`);
    }
  });
  await fc.assert(property, { seed, numRuns: scenarioCount, endOnFailure: true });
});

test.run();
