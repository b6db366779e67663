import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { JobEnd } from '../ports/jobs.js';
import type { Metrics } from '../ports/metrics.js';
import { countJobEnd } from './countJobEnd.js';

const tagsOf = (end: JobEnd): readonly string[] => {
  let counted: readonly string[] = [];
  const metrics: Metrics = {
    count: (_name, _value, tags = []) => {
      counted = tags;
    },
    gauge: () => undefined,
    durationMs: () => undefined,
  };
  countJobEnd(metrics, 'fit', end);
  return counted;
};

test('ends of jobs are counted by route, outcome and cause, without details of the cause', () => {
  assert.equal(tagsOf({ kind: 'completed' }), ['route:fit', 'outcome:completed', 'cause:none']);
  assert.equal(
    tagsOf({ kind: 'given-up', reason: 'its dispatcher was lost: ECONNRESET 10.0.0.7' }),
    ['route:fit', 'outcome:given-up', 'cause:its dispatcher was lost'],
  );
});

test.run();
