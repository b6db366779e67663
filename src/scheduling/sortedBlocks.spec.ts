import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { SeededRandom } from '../testing/seededRandom.js';
import { SortedBlocks } from './sortedBlocks.js';

// Guards against items that are lost or out of order when blocks are divided or become empty.
test('items stay in order while others are added and removed, also during a walk', () => {
  const random = SeededRandom.create(3);
  const sorted = SortedBlocks.create<number>((a, b) => a - b);
  const expected = new Set<number>();
  for (let round = 0; round < 6_000; round += 1) {
    const item = Math.floor(random.next() * 3_000);
    const isAdding = !expected.has(item) && random.next() < (round < 4_000 ? 0.9 : 0.1);
    if (isAdding) {
      sorted.add(item);
      expected.add(item);
    } else {
      sorted.delete(item);
      expected.delete(item);
    }
  }
  const inOrder = [...expected].sort((a, b) => a - b);
  assert.equal(sorted.list(), inOrder);
  assert.is(sorted.size, inOrder.length);
  const walked: number[] = [];
  for (let item = sorted.first(); item !== undefined; item = sorted.after(item)) {
    walked.push(item);
    sorted.delete(item);
  }
  assert.equal(walked, inOrder);
  assert.is(sorted.size, 0);
});

test.run();
