import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { ModelEvent } from '../testing/model/modelEvents.js';
import { runScenario } from '../testing/model/runScenario.js';
import { createScenario, submit } from '../testing/model/scenarios.js';

const domains = ['east', 'west', 'north'];
const cutAtMs = 3_000;

/** The end of the first caller is lost; its daemon is cut off from that of the next attempt, and killed behind the cut. */
const cutBeforeKill = (forMs: number): ModelEvent[] => [
  { kind: 'inbound', atMs: 1_000, daemon: 0, fault: { kind: 'lost-ends' }, forMs: 12_000 },
  submit(2_000, {
    ...{ tasks: 6, runMs: 6_000, estimatedMs: 6_000, cpuMillis: 2_000, deadlineMs: 25_000 },
    ...{ maxAttempts: 2, leavesAfterMs: 2_500 },
  }),
  { kind: 'cut-daemons', atMs: cutAtMs, daemon: 0, other: 1, fault: 'silent', forMs },
  { kind: 'kill', atMs: cutAtMs + forMs, daemon: 0, downMs: 4_000 },
];

// Guards against a job that starts beside its runs at a killed daemon, which had started or renewed them behind a cut.
test('the runs of a holder that was cut off before it was killed have ended before the next attempt starts', async () => {
  for (const forMs of [1_500, 2_000, 2_700]) {
    const { violations, runCount } = await runScenario({
      ...createScenario(
        domains,
        [...domains, ...domains].map((domain) => [domain, 1] as const),
        cutBeforeKill(forMs),
      ),
      startsStateLifetime: true,
      guardsCapacity: true,
    });
    assert.equal(violations, [], `cut for ${forMs} ms`);
    assert.ok(runCount > 0);
  }
});

test.run();
