import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { addLoss, consequenceOfLosses, highestLosses, noLosses, settleLoss } from './lossCounts.js';
import type { LossCounts, LossKind } from './lossCounts.js';

const countLosses = (kinds: readonly LossKind[]): LossCounts => kinds.reduce(addLoss, noLosses);

const consequenceAfter = (...kinds: LossKind[]): string => consequenceOfLosses(countLosses(kinds));

// Guards against a job that is answered as failed without proof, and against a sixth start of a task.
test('only proved crashes fail a task; after two likely or five possible ones it is not started again', () => {
  assert.is(consequenceAfter('crashed'), 'may-start');
  assert.is(consequenceAfter('crashed', 'crashed'), 'crashes-workers');
  assert.is(consequenceAfter('crashed', 'likely'), 'may-crash-workers');
  assert.is(consequenceAfter('likely', 'likely'), 'may-crash-workers');
  assert.is(consequenceAfter('unclear', 'unclear', 'unclear', 'likely'), 'may-start');
  assert.is(consequenceAfter('unclear', 'unclear', 'unclear', 'crashed'), 'may-start');
  assert.is(
    consequenceAfter('unclear', 'unclear', 'unclear', 'unclear', 'unclear'),
    'may-crash-workers',
  );
  assert.is(
    consequenceAfter('unclear', 'unclear', 'unclear', 'unclear', 'crashed'),
    'may-crash-workers',
  );
});

// Guards against an innocent task that is given up for workers that were only cut off.
test('a loss that turns out to be none counts no more, and a crash counts once', () => {
  const four = countLosses(['unclear', 'unclear', 'unclear', 'unclear']);
  assert.is(settleLoss(four, 'none').unclearLosses, 3);
  assert.equal(settleLoss(four, 'crashed'), { ...four, crashedWorkers: 1, unclearLosses: 3 });
  assert.equal(settleLoss(four, 'likely'), { ...four, likelyCrashes: 1 });
});

// Guards against a message of an earlier version that ends what this one counts.
test('counts that a message omits change nothing', () => {
  const counts = countLosses(['unclear', 'likely', 'crashed']);
  assert.equal(highestLosses(counts, { lostWorkers: 2 }), counts);
});

test.run();
