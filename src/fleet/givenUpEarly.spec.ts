import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { allWorkersClosedScenario } from '../testing/model/closedWorkerScenarios.js';
import { runScenario } from '../testing/model/runScenario.js';

// Guards against a job that is given up with nearly all of its time left, and its work thrown away, since no worker
// takes its last tasks for a moment.
test('tasks that no worker takes for a moment wait for one while others of their job have run', async () => {
  const { violations, answers, runCount } = await runScenario(allWorkersClosedScenario);
  assert.equal(violations, []);
  assert.equal(answers, ['0000000000000001/0 completed']);
  assert.is(runCount, 4);
});

test.run();
