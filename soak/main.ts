/**
 * `npm run soak -- --seeds 1-50 --seconds 12 --jobs 4`: plays seeds against the built daemon. The logs of
 * each seed are kept in `soak/out`.
 */
import { resolve } from 'node:path';
import { parseArgs } from 'node:util';
import { runSeed } from './runSeed.js';
import type { SeedReport } from './runSeed.js';

const { values } = parseArgs({
  options: {
    /** Seeds, such as `7` or `1-50`. */
    seeds: { type: 'string', default: '1-10' },
    /** Time in which faults begin. */
    seconds: { type: 'string', default: '12' },
    /** Seeds that are played at the same time. */
    jobs: { type: 'string', default: '3' },
  },
});

const root = resolve(import.meta.dirname, '..');

const listSeeds = (text: string): number[] => {
  const [first = 1, last = first] = text.split('-').map(Number);
  return Array.from({ length: last - first + 1 }, (_, index) => first + index);
};

const tell = ({ seed, requests, completed, broken }: SeedReport): void => {
  const verdict = broken.length === 0 ? 'kept' : 'BROKEN';
  process.stdout.write(`seed ${seed}: ${verdict}, ${completed} of ${requests} completed\n`);
  broken.forEach((line) => process.stdout.write(`  ${line}\n`));
};

const playAll = async (seeds: number[], slot: number, reports: SeedReport[]): Promise<void> => {
  for (let seed = seeds.shift(); seed !== undefined; seed = seeds.shift()) {
    const report = await runSeed({
      seed,
      slot,
      spanMs: Number(values.seconds) * 1_000,
      folder: resolve(root, 'soak/out'),
      program: resolve(root, 'target/main.js'),
    });
    tell(report);
    reports.push(report);
  }
};

const seeds = listSeeds(values.seeds);
const reports: SeedReport[] = [];
await Promise.all(
  Array.from({ length: Number(values.jobs) }, (_, slot) => playAll(seeds, slot, reports)),
);
const broken = reports.filter((report) => report.broken.length > 0);
process.stdout.write(`${reports.length} seeds, ${broken.length} with a broken promise\n`);
process.exitCode = broken.length === 0 ? 0 : 1;
