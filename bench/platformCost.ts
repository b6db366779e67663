/**
 * `npm run bench:platform -- --daemons 8 --workers 33`: measures the processor time that built daemons
 * spend on their start, without traffic, and on jobs, against stand-ins of the platform. With
 * `--profile DIR` the first daemon writes a processor profile there.
 */
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { parseArgs } from 'node:util';
import { daemonProgram } from '../standins/platform/daemonChild.js';
import { CostFleet } from './platformCost/costFleet.js';
import { readProcessorMs, readResidentMb } from './platformCost/processorTime.js';
import { JobLoad } from './platformCost/jobLoad.js';

/** Time after the start of the daemons that counts as their start, in milliseconds. */
const startPhaseMs = 4_000;

const { values } = parseArgs({
  options: {
    daemons: { type: 'string', default: '8' },
    workers: { type: 'string', default: '33' },
    routes: { type: 'string', default: '8' },
    /** Length of the phase without traffic and of the phase with traffic, in seconds. */
    seconds: { type: 'string', default: '8' },
    /** Multiplies the rate of jobs; 1 is about 340 task starts each second. */
    load: { type: 'string', default: '1' },
    /** Folder for a processor profile of the first daemon. */
    profile: { type: 'string' },
    /** Path of the built program. */
    program: { type: 'string', default: daemonProgram(resolve(import.meta.dirname, '..')) },
  },
});

const durationMs = Number(values.seconds) * 1_000;
const fleet = await CostFleet.create({
  networkIndex: 60,
  daemons: Number(values.daemons),
  workers: Number(values.workers),
  routes: Number(values.routes),
  folder: mkdtempSync(join(tmpdir(), 'toucandyke-cost-')),
  program: values.program,
  firstDaemonArguments:
    values.profile === undefined
      ? {}
      : { node: ['--cpu-prof', '--cpu-prof-interval=250', `--cpu-prof-dir=${values.profile}`] },
});

/** @returns processor time of all daemons, in milliseconds */
const readTotalMs = (): number =>
  fleet.daemons.reduce((sum, { pid }) => sum + (pid === undefined ? 0 : readProcessorMs(pid)), 0);

/** Measures the phases one after the other, and prints a table. */
const measure = async (): Promise<void> => {
  await sleep(startPhaseMs);
  const startedMs = readTotalMs();
  await sleep(durationMs);
  const idleMs = readTotalMs();
  const load = JobLoad.create(fleet.daemons.map(({ callersAddress }) => callersAddress));
  const reportsBefore = fleet.reportRequestCount;
  const result = await load.run(durationMs, Number(values.load));
  await load.close();
  if (result.lastError !== undefined) {
    process.stdout.write(`A job got no answer: ${result.lastError}\n`);
  }
  const loadedMs = readTotalMs() - idleMs;
  const residentMb = fleet.daemons.map(({ pid }) => (pid === undefined ? 0 : readResidentMb(pid)));
  const count = fleet.daemons.length;
  const runs = fleet.startCount;
  const idlePerSecond = (idleMs - startedMs) / count / Number(values.seconds);
  const trafficMs = loadedMs - idlePerSecond * count * Number(values.seconds);
  const rows = [
    { what: 'start of a daemon, ms of a core', value: startedMs / count },
    { what: 'second of a daemon without traffic, ms', value: idlePerSecond },
    { what: 'job, ms beyond the time without traffic', value: trafficMs / result.jobs },
    { what: 'run, ms beyond the time without traffic', value: trafficMs / runs },
    { what: 'report requests per run', value: (fleet.reportRequestCount - reportsBefore) / runs },
    { what: 'largest resident memory, MB', value: Math.max(...residentMb) },
    { what: 'jobs', value: result.jobs },
    { what: 'completed jobs', value: result.completed },
    { what: 'median answer, ms', value: result.medianMs },
    { what: '95 of 100 answers within, ms', value: result.p95Ms },
  ];
  for (const { what, value } of rows) {
    process.stdout.write(`${what.padEnd(42)} ${value.toFixed(2).padStart(10)}\n`);
  }
};

try {
  await measure();
} finally {
  await fleet.close();
}
