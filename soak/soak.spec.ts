import { execFile } from 'node:child_process';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { promisify } from 'node:util';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { planFaults } from './faults.js';
import { regressionSeeds } from './regressionSeeds.js';
import { daemonProgram } from '../standins/platform/daemonChild.js';
import { runSeed } from './runSeed.js';

const root = resolve(import.meta.dirname, '..');
/** First loopback network of these fleets; a manual soak that runs at the same time uses lower ones. */
const firstNetworkIndex = 30;

test('planFaults returns the same faults for the same seed', () => {
  const options = { seed: 7, daemons: 4, workers: 6, faultWindowMs: 10_000 };
  assert.equal(planFaults(options), planFaults(options));
  assert.not.equal(planFaults(options), planFaults({ ...options, seed: 8 }));
});

test('seeds that failed before violate no guarantee', async () => {
  await promisify(execFile)('npm', ['run', '-s', 'build:platform'], { cwd: root });
  const folder = mkdtempSync(join(tmpdir(), 'toucandyke-soak-'));
  const reports = await Promise.all(
    regressionSeeds.map(({ seed, faultWindowMs }, index) =>
      runSeed({
        seed,
        faultWindowMs,
        networkIndex: firstNetworkIndex + index,
        folder,
        program: daemonProgram(root),
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
