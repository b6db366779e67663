import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { ModelEvent } from '../testing/model/modelEvents.js';
import { runScenario } from '../testing/model/runScenario.js';
import { createScenario, submit } from '../testing/model/scenarios.js';
import { SeededRandom } from '../testing/seededRandom.js';

const seedCount = 40;
const daemons = ['east', 'east', 'east', 'east'];
const jobCount = 14;

/** Overlapping planned stops while jobs with short and long runs arrive, and one failure of a daemon, a link or the store. */
const createEvents = (random: SeededRandom): ModelEvent[] => {
  const pick = (count: number): number => Math.floor(random.next() * count);
  const between = (low: number, high: number): number =>
    Math.round(low + random.next() * (high - low));
  const jobs = Array.from({ length: jobCount }, () => {
    const runMs = random.next() < 0.2 ? between(2_000, 6_000) : between(50, 900);
    const sizes = { tasks: 1 + pick(4), cpuMillis: 8_000, deadlineMs: between(3_000, 12_000) };
    return submit(between(0, 6_000), { ...sizes, daemon: pick(4), runMs, estimatedMs: runMs });
  });
  const stops = [0, 1].map((daemon): ModelEvent => ({
    ...{ kind: 'stop', atMs: between(500, 2_500), daemon, downMs: between(300, 2_000) },
  }));
  const atMs = between(500, 5_000);
  const forMs = between(300, 3_000);
  const failures: readonly ModelEvent[] = [
    { kind: 'kill', atMs, daemon: 2, downMs: forMs },
    { kind: 'freeze', atMs, daemon: 2, forMs },
    { kind: 'cut-daemons', atMs, daemon: 0, other: 2, fault: 'silent', forMs },
    { kind: 'cut-store', atMs, daemon: pick(4), forMs },
  ];
  const failure = failures[pick(failures.length)];
  return [...jobs, ...stops, ...(failure === undefined ? [] : [failure])];
};

// Guards against a task that runs at the daemon which hands its worker over and again elsewhere, and against one that is lost.
test('overlapping planned stops with a failure midway break no rule', async () => {
  for (let seed = 1; seed <= seedCount; seed += 1) {
    const events = createEvents(SeededRandom.create(seed));
    const scenario = { ...createScenario(daemons, [['east', 8]], events), seed };
    const { violations, runCount } = await runScenario(scenario);
    assert.equal(violations, [], `seed ${seed}`);
    assert.ok(runCount > 0);
  }
});

test.run();
