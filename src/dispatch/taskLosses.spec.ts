import { test } from 'uvu';
import * as assert from 'uvu/assert';
import fc from 'fast-check';
import { suspectTaskSchema } from '../types/fleet.js';
import type { LossStatus, TaskLoss } from '../types/losses.js';
import {
  addLoss,
  areEqualLosses,
  consequenceOfLosses,
  countLosses,
  fromStatedLosses,
  isDecidedByAwaited,
  joinLosses,
  noLosses,
  toStatedLosses,
} from './taskLosses.js';
import type { TaskLosses } from './taskLosses.js';

/** Losses of different runs, numbered from a first one. */
const lossesOf = (statuses: readonly LossStatus[], first = 1): TaskLosses =>
  statuses
    .map((status, index) => ({ id: `vm-${first + index}.1`, status }))
    .reduce(addLoss, noLosses);

const consequenceAfter = (...statuses: LossStatus[]): string =>
  consequenceOfLosses(lossesOf(statuses));

const lossArbitrary: fc.Arbitrary<TaskLoss> = fc.record({
  id: fc.integer({ min: 1, max: 20 }).map((run) => `vm-1.${run}`),
  status: fc.constantFrom<LossStatus>('awaited', 'unclear', 'likely', 'none'),
});
const lossesArbitrary = fc
  .array(lossArbitrary, { maxLength: 16 })
  .map((losses) => losses.reduce(addLoss, noLosses));

// Guards against a third start of a task that likely crashes its workers, and against a sixth one of any task.
test('after two likely or five possible crashes a task is not started again', () => {
  assert.is(consequenceAfter('likely'), 'may-start');
  assert.is(consequenceAfter('likely', 'likely'), 'may-crash-workers');
  assert.is(consequenceAfter('likely', 'unclear', 'likely'), 'may-crash-workers');
  assert.is(consequenceAfter('unclear', 'awaited', 'unclear', 'likely'), 'may-start');
  assert.is(
    consequenceAfter('unclear', 'unclear', 'awaited', 'unclear', 'unclear'),
    'may-crash-workers',
  );
  assert.is(
    consequenceAfter('unclear', 'unclear', 'unclear', 'unclear', 'likely'),
    'may-crash-workers',
  );
});

// Guards against a sixth start of a deadly task, one run of which ended on a worker that was only silent.
test('after three possible crashes every further start of a task counts, also one that crashed no worker', () => {
  assert.is(consequenceAfter('unclear', 'unclear', 'none', 'none', 'none'), 'may-start');
  assert.is(consequenceAfter('unclear', 'unclear', 'unclear', 'none'), 'may-start');
  assert.is(
    consequenceAfter('unclear', 'none', 'unclear', 'unclear', 'unclear'),
    'may-crash-workers',
  );
});

// Guards against a task that crashes workers at two daemons, each of which takes its own loss for that of the other.
test('losses that two daemons have seen add up', () => {
  const joined = joinLosses(lossesOf(['likely']), lossesOf(['likely'], 2));
  assert.is(countLosses(joined).likelyCrashes, 2);
  assert.is(consequenceOfLosses(joined), 'may-crash-workers');
});

// Guards against an innocent task that is given up for workers that were only cut off, or for one crash that is told twice.
test('a loss that turns out to be none counts no more, whatever is heard later, and a crash counts once', () => {
  const four = lossesOf(['unclear', 'awaited', 'unclear', 'unclear']);
  const cleared = addLoss(four, { id: 'vm-2.1', status: 'none' });
  assert.equal(countLosses(cleared), { lostWorkers: 4, likelyCrashes: 0, unclearLosses: 3 });
  assert.ok(areEqualLosses(joinLosses(cleared, four), cleared));
  const likely = addLoss(four, { id: 'vm-2.1', status: 'likely' });
  assert.equal(countLosses(joinLosses(likely, likely)), {
    ...{ lostWorkers: 4, likelyCrashes: 1, unclearLosses: 4 },
  });
});

// Guards against daemons that disagree on a task, depending on who has told them first.
test('losses are joined alike in any order and however often', () => {
  const isJoined = (a: TaskLosses, b: TaskLosses, c: TaskLosses): boolean =>
    areEqualLosses(joinLosses(a, b), joinLosses(b, a)) &&
    areEqualLosses(joinLosses(a, a), a) &&
    consequenceOfLosses(joinLosses(joinLosses(a, b), c)) ===
      consequenceOfLosses(joinLosses(a, joinLosses(b, c)));
  fc.assert(fc.property(lossesArbitrary, lossesArbitrary, lossesArbitrary, isJoined), { seed: 1 });
});

// Guards against messages that grow with every start of a task, and against a bound that drops what decides.
test('few losses of a task are kept, those that may be crashes first', () => {
  const many = joinLosses(
    lossesOf(Array<LossStatus>(90).fill('none')),
    lossesOf(['unclear', 'likely'], 91),
  );
  assert.ok(many.known.size < 20);
  assert.equal([...many.known.values()].filter((status) => status !== 'none').sort(), [
    'likely',
    'unclear',
  ]);
});

// Guards against a start that the answer of a silent worker would have ruled out.
test('a task waits for the answers of silent workers that may end its starts', () => {
  assert.not(isDecidedByAwaited(lossesOf(['awaited', 'unclear'])));
  assert.not(isDecidedByAwaited(lossesOf(['likely', 'unclear'])));
  assert.ok(isDecidedByAwaited(lossesOf(['awaited', 'likely'])));
  assert.ok(isDecidedByAwaited(lossesOf(['awaited', 'awaited'])));
});

// Guards against losses that change on their way, and against a message that an earlier version rejects.
test('losses are read as they were stated, with counts for earlier versions', () => {
  const losses = lossesOf(['unclear', 'likely', 'none', 'awaited']);
  const stated = suspectTaskSchema.parse({ taskName: 't', ...toStatedLosses(losses) });
  assert.ok(areEqualLosses(fromStatedLosses(stated), losses));
  const { lostWorkers, likelyCrashes, unclearLosses } = stated;
  assert.equal({ lostWorkers, likelyCrashes, unclearLosses }, countLosses(losses));
});

// Guards against a message of an earlier version that ends what this one knows, or whose counts are ignored.
test('counts without losses, of an earlier version, are a lower bound', () => {
  const losses = lossesOf(['unclear', 'likely']);
  assert.equal(
    countLosses(joinLosses(losses, fromStatedLosses({ lostWorkers: 1 }))),
    countLosses(losses),
  );
  const counted = fromStatedLosses({ lostWorkers: 3, likelyCrashes: 1, unclearLosses: 3 });
  const joined = joinLosses(losses, counted);
  assert.equal(countLosses(joined), { lostWorkers: 3, likelyCrashes: 1, unclearLosses: 3 });
  assert.equal(countLosses(fromStatedLosses(toStatedLosses(joined))), countLosses(joined));
});

// Guards against a task that crashes further workers, since an earlier version has counted its crashes as proved.
test('crashes that an earlier version took as proved count as likely ones', () => {
  const stated = { lostWorkers: 2, crashedWorkers: 1, likelyCrashes: 1, unclearLosses: 1 };
  const losses = fromStatedLosses(stated);
  assert.equal(countLosses(losses), { lostWorkers: 2, likelyCrashes: 2, unclearLosses: 2 });
  assert.is(consequenceOfLosses(losses), 'may-crash-workers');
});

test.run();
