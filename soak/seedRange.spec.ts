import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { parseSeeds } from './seedRange.js';

// Guards against a soak that runs no seed and reports that all have kept their guarantees.
test('only seeds and ranges of seeds are valid', () => {
  assert.equal(parseSeeds('7').unwrap(), [7]);
  assert.equal(parseSeeds('9-11').unwrap(), [9, 10, 11]);
  for (const text of ['abc', '', '5-', '9-7', '-3', '1-2-3']) {
    assert.ok(parseSeeds(text).isErr(), text);
  }
});

test.run();
