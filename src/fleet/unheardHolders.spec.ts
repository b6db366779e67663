import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { ModelEvent } from '../testing/model/modelEvents.js';
import { runScenario } from '../testing/model/runScenario.js';
import { createScenario, submit } from '../testing/model/scenarios.js';

const domains = ['east', 'west', 'north'];

/** The end of the first caller is lost, and the job takes 6 s; each attempt waits for 2.5 s, and the next one comes after 3.8 s. */
const lostEnd: ModelEvent[] = [
  { kind: 'inbound', atMs: 1_000, daemon: 0, fault: { kind: 'lost-ends' }, forMs: 12_000 },
  submit(2_000, {
    ...{ tasks: 2, runMs: 6_000, estimatedMs: 6_000, cpuMillis: 2_000, deadlineMs: 9_000 },
    ...{ maxAttempts: 2, leavesAfterMs: 2_500 },
  }),
];

// Guards against a caller that is refused though its job ends in time, since its daemon could not ask the holder for a second.
test('the next attempt has the end of a job whose holder is cut off for a short while', async () => {
  const { violations, answers } = await runScenario({
    ...createScenario(
      domains,
      [...domains, ...domains].map((domain) => [domain, 1] as const),
      [
        ...lostEnd,
        {
          ...{ kind: 'cut-daemons', atMs: 5_600, daemon: 0, other: 1, fault: 'silent' },
          forMs: 1_600,
        },
      ],
    ),
    startsStateLifetime: true,
    guardsCapacity: true,
  });
  assert.equal(violations, []);
  assert.equal(answers, ['0000000000000001/0 none', '0000000000000001/1 completed']);
});

test.run();
