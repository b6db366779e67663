import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { runScenario } from '../testing/model/runScenario.js';
import { createResetPairs } from '../testing/model/walk/resetWalk.js';
import { samplePairs } from '../testing/model/walk/samplePairs.js';

const sample = { count: 40, seed: 1 };

/** The resets at slow daemons whose ends arrive as soon as the request does, of long tasks. */
const promptEnds = createResetPairs().filter(
  ({ troubles: [reset = '', end] }) =>
    reset.startsWith('reset, turns of') && end === 'ends arrive, long tasks',
);

// Guards against a start of a request whose connection was reset before it was read, so that its caller went elsewhere at once.
test('no job starts whose connection was reset before its request was read', async () => {
  for (const scenario of samplePairs(promptEnds, sample)) {
    const { violations } = await runScenario(scenario);
    assert.equal(violations, [], JSON.stringify(scenario.events));
  }
});

test.run();
