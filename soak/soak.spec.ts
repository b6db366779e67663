import { execFile } from 'node:child_process';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { promisify } from 'node:util';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { planFaults } from './faults.js';
import { regressionSeeds } from './regressionSeeds.js';
import { runSeed } from './runSeed.js';

const root = resolve(import.meta.dirname, '..');
/** Tells these fleets apart from those of a soak by hand. */
const firstSlot = 30;

test('a seed always gives the same faults', () => {
  const options = { seed: 7, daemons: 4, workers: 6, spanMs: 10_000 };
  assert.equal(planFaults(options), planFaults(options));
  assert.not.equal(planFaults(options), planFaults({ ...options, seed: 8 }));
});

test('seeds that have failed keep every promise', async () => {
  await promisify(execFile)('npm', ['run', '-s', 'build:platform'], { cwd: root });
  const folder = mkdtempSync(join(tmpdir(), 'toucandyke-soak-'));
  const reports = await Promise.all(
    regressionSeeds.map(({ seed, spanMs }, index) =>
      runSeed({
        seed,
        spanMs,
        slot: firstSlot + index,
        folder,
        program: resolve(root, 'target/main.js'),
      }),
    ),
  );
  for (const { seed, broken, completed } of reports) {
    assert.equal(broken, [], `seed ${seed}, logs in ${folder}`);
    assert.ok(completed > 0);
  }
  rmSync(folder, { recursive: true });
});

test.run();
