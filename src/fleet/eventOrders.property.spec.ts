import fc from 'fast-check';
import { test } from 'uvu';
import { playArbitrary } from '../testing/model/eventArbitraries.js';
import { playEvents } from '../testing/model/playEvents.js';

const seed = 1;
const playCount = 16;

// Guards against double runs and untrue answers after orders of events that no scenario names.
test('no random order of events breaks a rule', async () => {
  const property = fc.asyncProperty(fc.noBias(playArbitrary), async (play) => {
    const [violation] = (await playEvents(play)).violations;
    if (violation !== undefined) {
      throw new Error(`${violation.rule}: ${violation.detail}`);
    }
  });
  await fc.assert(property, { seed, numRuns: playCount, endOnFailure: true });
});

test.run();
