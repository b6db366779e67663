import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { Ok } from 'ts-results-es';
import type { Caller } from '../types/inventory.js';
import { DaemonFixture } from '../testing/daemonFixture.js';
import { createCaller, createConfiguration, createSubmission } from '../testing/fixtures.js';
import { SeededRandom } from '../testing/seededRandom.js';

const counter = createCaller('counter');
const petshop = createCaller('petshop', 'trial');
const fitMs = 100;
const trialShare = 0.25;
const lengthMs = 3_000;

/** Slots in each of two workers. */
interface Load {
  readonly slotsPerWorker: number;
  /** Trial tasks in all. */
  readonly trialTasks: number;
  /** Largest paying job. */
  readonly maxJobTasks: number;
  /** Mean time between two paying jobs. */
  readonly meanGapMs: number;
}

/** Runs one seeded paying load and returns the response over ideal of each paying job. */
const runLoad = async (load: Load): Promise<number[]> => {
  const configuration = createConfiguration({ slots: load.slotsPerWorker });
  configuration.rules.trialSlotShare = trialShare;
  const fixture = await DaemonFixture.create(['muenchen-vm1'], configuration);
  const daemon = fixture.daemon('muenchen-vm1');
  let sent = 0;
  const submit = async (caller: Caller, tasks: number, deadlineMs = 30_000): Promise<number> => {
    const inputs = Array.from({ length: tasks }, (_, i) => i);
    const startedAtMs = fixture.clock.nowMs();
    sent += 1;
    const key = `${daemon.owner()}~${sent}`;
    const outcome = await daemon.submit(
      caller,
      key,
      Ok(createSubmission('fit', inputs, deadlineMs)),
    );
    const isComplete = outcome.kind === 'answered' && outcome.answer.status === 'complete';
    return isComplete ? (fixture.clock.nowMs() - startedAtMs) / fitMs : Infinity;
  };
  for (let i = 0; i < load.trialTasks; i += 1) {
    void submit(petshop, 1);
  }
  const random = SeededRandom.create(3);
  const ratios: Promise<number>[] = [];
  for (let atMs = 0; atMs < lengthMs;) {
    const gapMs = Math.ceil(-Math.log(1 - random.next()) * load.meanGapMs);
    await fixture.clock.advance(gapMs);
    atMs += gapMs;
    ratios.push(submit(counter, 1 + Math.floor(random.next() * load.maxJobTasks)));
  }
  await fixture.clock.advance(30_000);
  const all = await Promise.all(ratios);
  await fixture.close();
  return all;
};

const sum = (values: readonly number[]): number => values.reduce((a, b) => a + b, 0);

/**
 * Ten times the cap: 8 slots of 16 are 25 %, so 4 trial slots; 4 slots run 40 tasks in a second.
 * The promise: paying work keeps 12 of 16 slots. What those 12 slots alone would do is the bound.
 */
const slotsPerWorker = 8;
const floodTasks = 10 * 2 * slotsPerWorker * trialShare * (lengthMs / fitMs);

test('leaves paying work that fits its slots exactly where it was without trial work', async () => {
  const load = { slotsPerWorker, maxJobTasks: 3, meanGapMs: 60 };
  const without = await runLoad({ ...load, trialTasks: 0 });
  const flooded = await runLoad({ ...load, trialTasks: floodTasks });
  assert.is(Math.max(...without), 1);
  assert.equal(flooded, without);
});

test('leaves bursts of paying work no worse than the slots without the trial share', async () => {
  const load = { maxJobTasks: 40, meanGapMs: 220 };
  const bound = await runLoad({
    ...load,
    slotsPerWorker: slotsPerWorker * (1 - trialShare),
    trialTasks: 0,
  });
  const flooded = await runLoad({ ...load, slotsPerWorker, trialTasks: floodTasks });
  assert.ok(sum(bound) / bound.length > 1.5, `the load queues: ${sum(bound) / bound.length}`);
  assert.ok(sum(flooded) <= sum(bound), `${sum(flooded)} over ${sum(bound)}`);
  assert.ok(Math.max(...flooded) <= Math.max(...bound), `${Math.max(...flooded)}`);
});

test.run();
