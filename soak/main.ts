/**
 * `npm run soak -- --seeds 1-50 --seconds 12 --jobs 4`: runs a fault soak of the built daemon for each
 * seed. The logs of each seed are kept in `soak/out`; the exit status is 1 if a guarantee was violated, and 2
 * if an option is not valid.
 */
import { resolve } from 'node:path';
import { parseArgs } from 'node:util';
import { daemonProgram } from '../standins/platform/daemonChild.js';
import { planKinds } from './faultSeries.js';
import { runSeed } from './runSeed.js';
import { parseSeeds } from './seedRange.js';
import type { PlanKind } from './faultSeries.js';
import type { SeedReport } from './runSeed.js';

const invalidExitCode = 2;

const { values } = parseArgs({
  options: {
    /** Seeds, such as `7` or `1-50`. */
    seeds: { type: 'string', default: '1-10' },
    /** Time within which the faults of a seed begin, in seconds. */
    seconds: { type: 'string', default: '12' },
    /** Seeds that run at the same time. */
    jobs: { type: 'string', default: '3' },
    /** `mixed`, or a kind of series that is played alone. */
    plan: { type: 'string', default: 'mixed' },
    /** Numbers of daemons and workers. */
    daemons: { type: 'string', default: '4' },
    workers: { type: 'string', default: '6' },
    /** Path of the built program, such as that of another version. */
    program: { type: 'string', default: '' },
    /** Folder for the logs. */
    out: { type: 'string', default: 'soak/out' },
  },
});

const root = resolve(import.meta.dirname, '..');

const printReport = ({ seed, requests, completed, broken }: SeedReport): void => {
  const result = broken.length === 0 ? 'kept' : 'BROKEN';
  process.stdout.write(`seed ${seed}: ${result}, ${completed} of ${requests} completed\n`);
  broken.forEach((violation) => process.stdout.write(`  ${violation}\n`));
};

/** Runs the remaining seeds one after the other; several calls share the list of seeds. */
const runSeeds = async (seeds: number[], plan: PlanKind, reports: SeedReport[]): Promise<void> => {
  for (let seed = seeds.shift(); seed !== undefined; seed = seeds.shift()) {
    const report = await runSeed({
      seed,
      plan,
      daemons: Number(values.daemons),
      workers: Number(values.workers),
      faultWindowMs: Number(values.seconds) * 1_000,
      folder: resolve(root, values.out),
      program: values.program === '' ? daemonProgram(root) : resolve(values.program),
    });
    printReport(report);
    reports.push(report);
  }
};

const parsedSeeds = parseSeeds(values.seeds);
const { seconds, jobs, daemons, workers } = values;
const areNumbersValid = [seconds, jobs, daemons, workers].every((text) => Number(text) > 0);
const plan = planKinds.find((kind) => kind === values.plan);
if (parsedSeeds.isErr() || !areNumbersValid || plan === undefined) {
  const fault = parsedSeeds.isErr()
    ? parsedSeeds.error
    : `The numbers must be above 0, and --plan one of ${planKinds.join(', ')}.`;
  process.stderr.write(`${fault}\n`);
  process.exit(invalidExitCode);
}
const seeds = parsedSeeds.value;
const reports: SeedReport[] = [];
await Promise.all(Array.from({ length: Number(jobs) }, () => runSeeds(seeds, plan, reports)));
const failedReports = reports.filter((report) => report.broken.length > 0);
process.stdout.write(`${reports.length} seeds, ${failedReports.length} with a broken promise\n`);
process.exitCode = failedReports.length === 0 ? 0 : 1;
