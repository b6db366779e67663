/**
 * Plays one seed: callers send jobs while faults come and go; then the fleet must serve as before.
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { routePrefix } from '../standins/platform/routes.js';
import { findBroken, isCompleted } from './checks.js';
import { planFaults } from './faults.js';
import { Injector } from './injector.js';
import { SoakCallers } from './soakCallers.js';
import { SoakFleet } from './soakFleet.js';

/** Time in which the fleet must be ready at first, and serve as before after the last fault. */
const recoveryMs = 15_000;
/** Time in which a routing configuration is in force everywhere, in milliseconds. */
const configurationMs = 3_000;
const pollMs = 100;
/** Runs that may still go on when the callers have their answers, in milliseconds. */
const settleMs = 1_500;
const finalRoutes = 60;

export interface SeedOptions {
  readonly seed: number;
  /** Time in which faults begin, in milliseconds. */
  readonly spanMs: number;
  /** Tells seeds apart that are played at the same time. */
  readonly slot: number;
  /** Folder for the logs; they are kept. */
  readonly folder: string;
  readonly program: string;
}

export interface SeedReport {
  readonly seed: number;
  readonly requests: number;
  readonly completed: number;
  /** Promises that were broken; empty if all were kept. */
  readonly broken: readonly string[];
}

/** Plays a seed. */
export const runSeed = async (options: SeedOptions): Promise<SeedReport> => {
  const { seed, spanMs, slot, program } = options;
  const folder = join(options.folder, `seed-${seed}`);
  mkdirSync(folder, { recursive: true });
  const fleet = await SoakFleet.create({ slot, folder, program });
  const callers = SoakCallers.create(fleet, seed);
  try {
    if (!(await untilServing(fleet, callers))) {
      return { seed, requests: 0, completed: 0, broken: ['The fleet did not begin to serve.'] };
    }
    callers.forget();
    const planned = planFaults({
      seed,
      daemons: fleet.daemons.length,
      workers: fleet.workers.length,
      spanMs,
    });
    writeFileSync(join(folder, 'faults.json'), JSON.stringify(planned, undefined, 1));
    callers.start();
    const injector = Injector.create(fleet);
    await injector.run(planned);
    await callers.finish();
    const after = await checkRecovery(fleet, callers);
    const broken = [
      ...findBroken(fleet, callers.attempts),
      ...injector.badStops.map((vmId) => `${vmId} did not stop cleanly in time.`),
      ...after,
    ];
    writeFileSync(join(folder, 'requests.json'), JSON.stringify(callers.attempts, undefined, 1));
    const { attempts } = callers;
    const completed = attempts.filter(isCompleted).length;
    return { seed, requests: attempts.length, completed, broken };
  } finally {
    await callers.close();
    await fleet.close();
  }
};

/** Checks that everything is served again after the last fault, and a new configuration comes through. */
const checkRecovery = async (fleet: SoakFleet, callers: SoakCallers): Promise<string[]> => {
  const healedAtMs = performance.now();
  if (!(await untilServing(fleet, callers))) {
    const idle = idleWorkers(fleet, healedAtMs);
    return [`Not all is served again in time; workers without a start: ${idle.join(', ') || '-'}.`];
  }
  fleet.publishRoutes(finalRoutes);
  await sleep(configurationMs);
  const prefix = routePrefix(finalRoutes - 1);
  const known = await Promise.all(
    fleet.daemons.map((_, daemon) => callers.hasRoute(daemon, prefix)),
  );
  await sleep(settleMs);
  return known.flatMap((isKnown, daemon) =>
    isKnown === true ? [] : [`The new configuration is not in force at daemon ${daemon}.`],
  );
};

/** Waits until each daemon completes a job in one round, and every worker has run something. */
const untilServing = async (fleet: SoakFleet, callers: SoakCallers): Promise<boolean> => {
  const fromMs = performance.now();
  while (performance.now() - fromMs < recoveryMs) {
    const jobs = await Promise.all(
      fleet.daemons.map((_, daemon) => callers.send(daemon, callers.createJob(3, 40))),
    );
    if (jobs.every(isCompleted) && idleWorkers(fleet, fromMs).length === 0) {
      return true;
    }
    await sleep(pollMs);
  }
  return false;
};

/** @returns workers that have started nothing since a time */
const idleWorkers = ({ workers }: SoakFleet, sinceMs: number): string[] =>
  workers
    .filter(({ worker }) => !worker.starts.some(({ startedAtMs }) => startedAtMs >= sinceMs))
    .map(({ worker }) => worker.workerId);
