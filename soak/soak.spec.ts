import { execFile } from 'node:child_process';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { promisify } from 'node:util';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { planFaults } from './singleFaults.js';
import { planKinds, planSeed } from './faultSeries.js';
import { regressionSeeds } from './regressionSeeds.js';
import { daemonProgram } from '../standins/platform/daemonChild.js';
import { runSeed } from './runSeed.js';
import type { SeedOptions, SeedReport } from './runSeed.js';

type SeedChoice = Omit<SeedOptions, 'folder' | 'program'>;

const root = resolve(import.meta.dirname, '..');
/** Late, lost and slow; no caller's next attempt comes before a daemon can know that it has left. */
const lateCallerSeeds: readonly SeedChoice[] = [4206, 4245].map((seed) => {
  return { plan: 'late-callers', seed, faultWindowMs: 4_000 };
});
/** The ends of connections are lost; next attempts go to both failure domains. */
const unheardCallerSeeds: readonly SeedChoice[] = [5035, 5069].map((seed) => {
  return { plan: 'unheard-callers', seed, faultWindowMs: 1_000 };
});
/** Seeds that run at the same time. */
const jobs = 3;

/** Builds the daemon, runs seeds, some at the same time, and fails with the first that violates a guarantee. */
const runAll = async (seeds: readonly SeedChoice[]): Promise<void> => {
  await promisify(execFile)('npm', ['run', '-s', 'build:platform'], { cwd: root });
  const folder = mkdtempSync(join(tmpdir(), 'toucandyke-soak-'));
  const reports: SeedReport[] = [];
  const remaining = [...seeds];
  const runRemaining = async (): Promise<void> => {
    for (let next = remaining.shift(); next !== undefined; next = remaining.shift()) {
      reports.push(await runSeed({ ...next, folder, program: daemonProgram(root) }));
    }
  };
  await Promise.all(Array.from({ length: jobs }, runRemaining));
  for (const { seed, broken, completed } of reports) {
    assert.equal(broken, [], `seed ${seed}, logs in ${folder}`);
    assert.ok(completed > 0);
  }
  rmSync(folder, { recursive: true });
};

test('planFaults returns the same faults for the same seed', () => {
  const options = { seed: 7, daemons: 4, workers: 6, faultWindowMs: 10_000 };
  assert.equal(planFaults(options), planFaults(options));
  assert.not.equal(planFaults(options), planFaults({ ...options, seed: 8 }));
});

test('a mixed plan has the single faults of its seed, and each plan repeats', () => {
  const options = { seed: 7, daemons: 4, workers: 6, faultWindowMs: 10_000 };
  const mixed = planSeed('mixed', options).map((planned) => JSON.stringify(planned));
  for (const planned of planFaults(options)) {
    assert.ok(mixed.includes(JSON.stringify(planned)));
  }
  for (const kind of planKinds) {
    assert.equal(planSeed(kind, options), planSeed(kind, options));
    assert.ok(planSeed(kind, options).length > 0);
  }
});

test('seeds that failed before violate no guarantee', () => runAll(regressionSeeds));

// Guards against two runs of a task whose caller a daemon has heard late, or has not heard leave.
test('a short run with late callers violates no guarantee', () => runAll(lateCallerSeeds));

// Guards against two runs of a task whose caller has left early, and whose daemon can't hear of it.
test('a short run with callers that leave unheard violates no guarantee', () =>
  runAll(unheardCallerSeeds));

test.run();
