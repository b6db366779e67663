import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  createInDoubtScenario,
  heldUpStartOfKilledDispatcherScenario,
  lateStartOfKilledRequesterScenario,
  startInNextLifetimeScenario,
  stoppedStartOfIdleWorkerScenario,
  stoppedStartOfSuspendedDispatcherScenario,
} from '../testing/model/inDoubtScenarios.js';
import { runScenario } from '../testing/model/runScenario.js';

// Guards against two runs of a task, one of which an order of before a crash has started in the next lifetime.
test('a start without an answer does not begin in the next lifetime beside another run of its task', async () => {
  const { violations, answers } = await runScenario(startInNextLifetimeScenario);
  assert.equal(violations, []);
  assert.equal(answers, ['0000000000000001/0 completed']);
});

// Guards against the same where the worker carries the order out late, and nothing else holds it up.
test('a start that is carried out late does not begin in the next lifetime beside another run of its task', async () => {
  for (const crashAfterMs of [60, 500]) {
    const { violations, answers } = await runScenario(
      createInDoubtScenario({
        ...{ tasks: 1, trouble: 'late', aheadMs: 2, troubleMs: 1_877, lateByMs: 1_800 },
        ...{ crashAfterMs, downMs: 466, down: 'refused', startsStateLifetime: true },
      }),
    );
    assert.equal(violations, []);
    assert.equal(answers, ['0000000000000001/0 completed']);
  }
});

// Guards against the same after a stop that only the lifetime knows of that has ended since.
test('a start that its worker has stopped does not begin in a lifetime that has reported before', async () => {
  const { violations, answers } = await runScenario(
    createInDoubtScenario({
      ...{ tasks: 4, trouble: 'late', aheadMs: 84, troubleMs: 700, lateByMs: 1_800 },
      ...{ crashAfterMs: 1_123, downMs: 466, down: 'silent', startsStateLifetime: false },
    }),
  );
  assert.equal(violations, []);
  assert.equal(answers, ['0000000000000001/0 completed']);
});

// Guards against a start that its dispatcher alone knows to be in doubt, while another one runs the caller's next attempt.
test('a late start of a killed requester does not begin beside the next attempt of its caller', async () => {
  const { violations } = await runScenario(lateStartOfKilledRequesterScenario);
  assert.equal(violations, []);
});

// Guards against a start of which nobody knows, since its dispatcher was killed before it could tell.
test('a start of a killed dispatcher does not begin beside the next attempt of its caller', async () => {
  const { violations, answers } = await runScenario(heldUpStartOfKilledDispatcherScenario);
  assert.equal(violations, []);
  assert.equal(answers, ['0000000000000001/0 given-up', '0000000000000001/1 completed']);
});

// Guards against a stop taken as proof beyond the lifetime that confirmed it, while the dispatcher is suspended and tells the next
// lifetime nothing.
test('a stopped start does not begin in a lifetime that its suspended dispatcher has not heard of', async () => {
  const { violations, answers } = await runScenario(stoppedStartOfSuspendedDispatcherScenario);
  assert.equal(violations, []);
  assert.equal(answers, ['0000000000000001/0 given-up', '0000000000000001/1 completed']);
});

// Guards against the same where the worker is idle, so that its dispatcher does not look whether it has crashed.
test('a stopped start does not begin in a lifetime of an idle worker that has not reported', async () => {
  const { violations, answers } = await runScenario(stoppedStartOfIdleWorkerScenario);
  assert.equal(violations, []);
  assert.equal(
    answers,
    [1, 2, 3].map((job) => `000000000000000${job}/0 completed`),
  );
});

test.run();
