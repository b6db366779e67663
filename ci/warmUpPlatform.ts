/**
 * Makes the code cache of the built platform daemon: a few daemons serve jobs of stand-ins for some
 * seconds, and the first of them writes the code that was compiled meanwhile when it stops.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { CostFleet } from '../bench/platformCost/costFleet.js';
import { JobLoad } from '../bench/platformCost/jobLoad.js';
import { daemonProgram } from '../standins/platform/daemonChild.js';

const startMs = 2_500;
const loadMs = 4_000;
/** Multiplies the rate of jobs of the cost bench, which is meant for more daemons. */
const loadFactor = 0.5;
/** Loopback networks from this one on are used by builds, each by another one. */
const firstNetwork = 130;
const networks = 100;

const folder = mkdtempSync(join(tmpdir(), 'toucandyke-build-'));
const fleet = await CostFleet.create({
  networkIndex: firstNetwork + (process.pid % networks),
  daemons: 4,
  workers: 8,
  routes: 8,
  folder,
  program: daemonProgram(resolve(import.meta.dirname, '..')),
  firstDaemonArguments: { program: ['--write-code-cache'] },
});
try {
  await sleep(startMs);
  const load = JobLoad.create(fleet.daemons.map(({ callersAddress }) => callersAddress));
  await load.run(loadMs, loadFactor);
  await load.close();
} finally {
  await fleet.close();
  rmSync(folder, { recursive: true });
}
