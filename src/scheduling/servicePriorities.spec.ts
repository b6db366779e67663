import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { ServicePriorities } from './servicePriorities.js';

// Guards against priorities that decide although the settings do not ask for it, or where there is only one.
test('priorities decide with the policy for it only, and between several', () => {
  for (const policy of ['deadline', 'priority'] as const) {
    const priorities = ServicePriorities.create(policy);
    priorities.record('fit', 0, 0);
    assert.not.ok(priorities.decide('fit', 1));
    priorities.record('fit', 1, 1);
    assert.is(priorities.decide('fit', 2), policy === 'priority');
  }
});

test.run();
