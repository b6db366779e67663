/**
 * `npm run soak -- --seeds 1-50 --seconds 12 --jobs 4`: runs a fault soak of the built daemon for each
 * seed. The logs of each seed are kept in `soak/out`; the exit status is 1 if a guarantee was violated, and 2
 * if an option is not valid.
 */
import { resolve } from 'node:path';
import { parseArgs } from 'node:util';
import { daemonProgram } from '../standins/platform/daemonChild.js';
import { runSeed } from './runSeed.js';
import { parseSeeds } from './seedRange.js';
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
  },
});

const root = resolve(import.meta.dirname, '..');

const printReport = ({ seed, requests, completed, broken }: SeedReport): void => {
  const result = broken.length === 0 ? 'kept' : 'BROKEN';
  process.stdout.write(`seed ${seed}: ${result}, ${completed} of ${requests} completed\n`);
  broken.forEach((violation) => process.stdout.write(`  ${violation}\n`));
};

/** Runs the remaining seeds one after the other; several calls share the list of seeds. */
const runSeeds = async (
  seeds: number[],
  networkIndex: number,
  reports: SeedReport[],
): Promise<void> => {
  for (let seed = seeds.shift(); seed !== undefined; seed = seeds.shift()) {
    const report = await runSeed({
      seed,
      networkIndex,
      faultWindowMs: Number(values.seconds) * 1_000,
      folder: resolve(root, 'soak/out'),
      program: daemonProgram(root),
    });
    printReport(report);
    reports.push(report);
  }
};

const parsedSeeds = parseSeeds(values.seeds);
const areNumbersValid = [values.seconds, values.jobs].every((text) => Number(text) > 0);
if (parsedSeeds.isErr() || !areNumbersValid) {
  const fault = parsedSeeds.isErr() ? parsedSeeds.error : '--seconds and --jobs must be above 0.';
  process.stderr.write(`${fault}\n`);
  process.exit(invalidExitCode);
}
const seeds = parsedSeeds.value;
const reports: SeedReport[] = [];
await Promise.all(
  Array.from({ length: Number(values.jobs) }, (_, networkIndex) =>
    runSeeds(seeds, networkIndex, reports),
  ),
);
const failedReports = reports.filter((report) => report.broken.length > 0);
process.stdout.write(`${reports.length} seeds, ${failedReports.length} with a broken promise\n`);
process.exitCode = failedReports.length === 0 ? 0 : 1;
