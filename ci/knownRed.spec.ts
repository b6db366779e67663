import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { compareWithKnownRed, failedTestsOf } from './knownRed.js';

test('finds the names of failed tests in the output of uvu', () => {
  const output =
    '\u001b[31m\u2718 \u001b[39m (1 / 2)\n\n   FAIL  "a task is "quoted""\n    Expected\n';
  assert.equal(failedTestsOf(output), ['a task is "quoted"']);
});

test('a failure that is not listed and a listed test that passes are told apart', () => {
  assert.equal(compareWithKnownRed(['a', 'b'], ['b', 'c']), {
    known: ['b'],
    unexpected: ['a'],
    stale: ['c'],
  });
});

test.run();
