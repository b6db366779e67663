import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { Ok } from 'ts-results-es';
import type { Caller } from '../types/inventory.js';
import { DaemonFixture } from '../testing/daemonFixture.js';
import { createCaller, createConfiguration, createSubmission } from '../testing/fixtures.js';
import { SeededRandom } from '../testing/seededRandom.js';

const counter = createCaller('counter');
const petshop = createCaller('petshop', 'trial');
/** Run time of every task of `fit`. */
const fitMs = 100;
const trialShare = 0.25;
/** Time during which paying jobs arrive. */
const loadMs = 3_000;

/** Load on two workers: trial tasks at the start, then paying jobs at random times. */
interface Load {
  readonly slotsPerWorker: number;
  /** Number of trial tasks, each a job of its own. */
  readonly trialTasks: number;
  /** Tasks of the largest paying job. */
  readonly maxJobTasks: number;
  /** Mean time between the arrivals of two paying jobs. */
  readonly meanGapMs: number;
}

/**
 * Runs one load with seeded paying jobs.
 *
 * @returns response time of each paying job over the run time of one task; infinite if incomplete
 */
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
  for (let atMs = 0; atMs < loadMs;) {
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
 * Trial tasks are ten times what the trial slots can run: of 16 slots trial work may hold 25 %,
 * which are 4 slots that run 40 tasks a second. Paying work keeps the other 12 slots, so its
 * response times on 12 slots without trial work are the bound.
 */
const slotsPerWorker = 8;
const floodTasks = 10 * 2 * slotsPerWorker * trialShare * (loadMs / fitMs);

test('does not slow down paying work that fits its slots under a flood of trial work', async () => {
  const load = { slotsPerWorker, maxJobTasks: 3, meanGapMs: 60 };
  const baseline = await runLoad({ ...load, trialTasks: 0 });
  const flooded = await runLoad({ ...load, trialTasks: floodTasks });
  assert.is(Math.max(...baseline), 1);
  assert.equal(flooded, baseline);
});

test('runs bursts of paying work no slower than on the slots that trial work cannot hold', async () => {
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
