import { createHash } from 'node:crypto';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { planSeed } from './faultSeries.js';
import type { PlanKind } from './faultSeries.js';

/** Plans whose seeds stand in the regression seeds, in KNOWN-RED.txt or in the incidents. */
const recordedPlans: readonly PlanKind[] = [
  'mixed',
  'cuts',
  'worker-crashes',
  'planned-stops',
  'kills',
  'pauses',
  'invalid-entries',
  'daemon-and-worker',
];
const lastSeed = 300;
const planDigest = 'eaa2ee24c8f8f4ec1b69903c700a486d02102b2a043c315c8d0b5e2f32f7a0ee';

// Guards against a new kind of fault that changes what the seeds of earlier failures play.
test('recorded seeds play the faults that they have always played', () => {
  const hash = createHash('sha256');
  for (const kind of recordedPlans) {
    for (let seed = 1; seed <= lastSeed; seed += 1) {
      const workers = seed % 2 === 0 ? 12 : 6;
      const planned = planSeed(kind, { seed, daemons: 4, workers, faultWindowMs: 12_000 });
      hash.update(JSON.stringify(planned));
    }
  }
  assert.is(hash.digest('hex'), planDigest);
});

test.run();
