import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { chooseWorker } from './workerChoice.js';
import type { Candidate, TaskDemand } from './workerChoice.js';

const context = { nowMs: 0, farRackFactor: 1.5, random: () => 0 };

const candidate = (workerId: string, changes: Partial<Candidate> = {}): Candidate => ({
  workerId,
  labels: [],
  free: { cpuMillis: 32_000, memoryMb: 4_096, accelerators: 0 },
  startsInMs: 0,
  slowness: 1,
  deliveryMs: 0,
  messageCost: 0,
  ...changes,
});

const demand = (changes: Partial<TaskDemand> = {}): TaskDemand => ({
  needs: { resources: { cpuMillis: 14_000, memoryMb: 64, accelerators: 0 } },
  estimatedMs: 100,
  objectiveAtMs: 400,
  giveUpAtMs: 1_200,
  ...changes,
});

const choose = (wanted: TaskDemand, candidates: readonly Candidate[]): string | undefined =>
  chooseWorker(wanted, candidates, context)?.candidate.workerId;

test('a slow worker is chosen if it meets the objective, otherwise a fast one', () => {
  const workers = [candidate('fast', { slowness: 0.6 }), candidate('slow', { slowness: 1.4 })];
  assert.is(choose(demand(), workers), 'slow');
  assert.is(choose(demand({ objectiveAtMs: 110 }), workers), 'fast');
});

test('a worker without free capacity, without the label or too slow for the deadline is not chosen', () => {
  const small = candidate('small', {
    free: { cpuMillis: 8_000, memoryMb: 64, accelerators: 0 },
  });
  assert.is(choose(demand(), [small]), undefined);
  assert.is(choose(demand(), [candidate('hung', { slowness: 20 })]), undefined);
  const labelled = demand({ needs: { ...demand().needs, requiredLabel: 'gpu' } });
  assert.is(choose(labelled, [candidate('plain')]), undefined);
  assert.is(
    choose(labelled, [candidate('plain'), candidate('right', { labels: ['gpu'] })]),
    'right',
  );
});

test('the run time is longer on a worker outside the rack of the data', () => {
  const far = demand({ needs: { ...demand().needs, preferredRack: 'r1' }, objectiveAtMs: 180 });
  const workers = [candidate('elsewhere'), candidate('near', { labels: ['r1'] })];
  assert.is(choose(far, workers), 'near');
});

test('among equal workers, the tightest fit and the nearest one are chosen', () => {
  const tight = candidate('tight', {
    free: { cpuMillis: 14_000, memoryMb: 64, accelerators: 0 },
  });
  assert.is(choose(demand(), [candidate('wide'), tight]), 'tight');
  assert.is(choose(demand(), [candidate('far', { messageCost: 4 }), candidate('here')]), 'here');
});

test.run();
