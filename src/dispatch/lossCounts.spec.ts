import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { addLoss, consequenceOfLosses, highestLosses, noLosses, settleLoss } from './lossCounts.js';
import type { LossCounts, LossKind } from './lossCounts.js';

const countLosses = (kinds: readonly LossKind[]): LossCounts => kinds.reduce(addLoss, noLosses);

const consequenceAfter = (...kinds: LossKind[]): string => consequenceOfLosses(countLosses(kinds));

// Guards against a third start of a task that likely crashes its workers, and against a sixth one of any task.
test('after two likely or five possible crashes a task is not started again', () => {
  assert.is(consequenceAfter('likely'), 'may-start');
  assert.is(consequenceAfter('likely', 'likely'), 'may-crash-workers');
  assert.is(consequenceAfter('likely', 'unclear', 'likely'), 'may-crash-workers');
  assert.is(consequenceAfter('unclear', 'unclear', 'unclear', 'likely'), 'may-start');
  assert.is(
    consequenceAfter('unclear', 'unclear', 'unclear', 'unclear', 'unclear'),
    'may-crash-workers',
  );
  assert.is(
    consequenceAfter('unclear', 'unclear', 'unclear', 'unclear', 'likely'),
    'may-crash-workers',
  );
});

// Guards against an innocent task that is given up for workers that were only cut off.
test('a loss that turns out to be none counts no more, and a crash counts once', () => {
  const four = countLosses(['unclear', 'unclear', 'unclear', 'unclear']);
  assert.is(settleLoss(four, 'none').unclearLosses, 3);
  assert.equal(settleLoss(four, 'likely'), { ...four, likelyCrashes: 1 });
});

// Guards against a message of an earlier version that ends what this one counts.
test('counts that a message omits change nothing', () => {
  const counts = countLosses(['unclear', 'likely', 'likely']);
  assert.equal(highestLosses(counts, { lostWorkers: 2 }), counts);
});

// Guards against a task that crashes further workers, since an earlier version has counted its crashes as proved.
test('crashes that an earlier version took as proved count as likely ones', () => {
  const stated = { lostWorkers: 2, crashedWorkers: 1, likelyCrashes: 1, unclearLosses: 1 };
  const counts = highestLosses(noLosses, stated);
  assert.equal(counts, { lostWorkers: 2, likelyCrashes: 2, unclearLosses: 2 });
  assert.is(consequenceOfLosses(counts), 'may-crash-workers');
});

test.run();
