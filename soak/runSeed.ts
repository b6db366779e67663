/**
 * Runs the soak of one seed: callers send jobs while faults are injected and healed; afterwards the
 * whole fleet must serve again.
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { routePrefix } from '../standins/platform/routes.js';
import { findViolations, isCompleted } from './checks.js';
import { checkCancellations } from './checkCancellations.js';
import { FaultInjector } from './faultInjector.js';
import { planSeed } from './faultSeries.js';
import type { PlanKind } from './faultSeries.js';
import { SoakCallers } from './soakCallers.js';
import { SoakFleet } from './soakFleet.js';

/** Longest time until the fleet serves after its start and after the last fault, in milliseconds. */
const maxRecoveryMs = 15_000;
/** Time within which every daemon applies a routing configuration, in milliseconds. */
const maxPropagationMs = 3_000;
const pollMs = 100;
/** Run time of the tasks that are to use every worker at the same time, in milliseconds. */
const servingTaskMs = 60;
/** Tasks of the callers' jobs that run on one worker at the same time. */
const slotsPerWorker = 2;
/** Longest pause of a caller between two jobs in milliseconds, beside single faults and beside a series alone. */
const mixedPauseMs = 150;
const seriesPauseMs = 1_500;
/** Number of routes of the configuration that checks the recovery. */
const finalRouteCount = 60;

export interface SeedOptions {
  readonly seed: number;
  /** Time within which faults begin, in milliseconds. */
  readonly faultWindowMs: number;
  readonly plan: PlanKind;
  /** Numbers of daemons and workers; by default, those of the fleet. */
  readonly daemons?: number | undefined;
  readonly workers?: number | undefined;
  /** Folder for the logs, which are kept, in a subfolder for each seed. */
  readonly folder: string;
  /** Path of the built program. */
  readonly program: string;
}

export interface SeedReport {
  readonly seed: number;
  /** Number of requests that the callers sent. */
  readonly requests: number;
  /** Number of requests whose job completed. */
  readonly completed: number;
  /** Violated guarantees, a sentence each; empty if all held. */
  readonly broken: readonly string[];
}

/** Runs one seed with a fleet of its own, and writes its faults and requests as JSON beside the logs. */
export const runSeed = async (options: SeedOptions): Promise<SeedReport> => {
  const { seed, plan, faultWindowMs, program, daemons, workers } = options;
  const folder = join(options.folder, `${plan}-${seed}`);
  mkdirSync(folder, { recursive: true });
  const fleet = await SoakFleet.create({ folder, program, daemons, workers });
  const maxPauseMs = plan === 'mixed' ? mixedPauseMs : seriesPauseMs;
  const callers = SoakCallers.create(fleet, seed, maxPauseMs);
  try {
    if (!(await waitUntilServing(fleet, callers))) {
      return {
        seed,
        requests: 0,
        completed: 0,
        broken: ['The fleet did not start to serve in time.'],
      };
    }
    callers.clearAttempts();
    const planned = planSeed(plan, {
      seed,
      daemons: fleet.daemons.length,
      workers: fleet.workers.length,
      faultWindowMs,
    });
    writeFileSync(join(folder, 'faults.json'), JSON.stringify(planned, undefined, 1));
    callers.start();
    const injector = FaultInjector.create(fleet, callers);
    await injector.run(planned);
    await callers.finish();
    const recoveryViolations = await checkRecovery(fleet, callers);
    const broken = [
      ...findViolations(fleet, callers.attempts),
      ...injector.failedStops.map((vmId) => `${vmId} did not stop cleanly in time.`),
      ...recoveryViolations,
    ];
    const json = (value: unknown): string => JSON.stringify(value, undefined, 1);
    writeFileSync(join(folder, 'requests.json'), json(callers.attempts));
    writeFileSync(join(folder, 'runs.json'), json(fleet.starts()));
    writeFileSync(join(folder, 'broken.json'), json(broken));
    const { attempts } = callers;
    const completed = attempts.filter(isCompleted).length;
    return { seed, requests: attempts.length, completed, broken };
  } finally {
    await callers.close();
    await fleet.close();
  }
};

/**
 * Checks that every daemon and worker serves again after the last fault, and that every daemon applies a
 * new configuration.
 *
 * @returns one sentence for each violation
 */
const checkRecovery = async (fleet: SoakFleet, callers: SoakCallers): Promise<string[]> => {
  const healedAtMs = performance.now();
  if (!(await waitUntilServing(fleet, callers))) {
    const idleWorkers = listIdleWorkers(fleet, healedAtMs);
    return [
      `The fleet did not recover in time; workers without a task run: ${idleWorkers.join(', ') || '-'}.`,
    ];
  }
  fleet.publishRoutes(finalRouteCount);
  await sleep(maxPropagationMs);
  const prefix = routePrefix(finalRouteCount - 1);
  const routeChecks = await Promise.all(
    fleet.daemons.map((_, daemon) => callers.hasRoute(daemon, prefix)),
  );
  const routeViolations = routeChecks.flatMap((hasRoute, daemon) =>
    hasRoute === true ? [] : [`Daemon ${daemon} did not apply the new configuration.`],
  );
  const unhandled = fleet.daemons.flatMap(({ child }) =>
    child.handlesReload ? [] : [`${child.vmId} does not handle SIGHUP, though it serves.`],
  );
  return [...routeViolations, ...unhandled, ...(await checkCancellations(fleet, callers))];
};

/**
 * Sends jobs until every daemon has completed one in the same round and every worker has started a run.
 *
 * @returns false if that took too long
 */
const waitUntilServing = async (fleet: SoakFleet, callers: SoakCallers): Promise<boolean> => {
  const startedAtMs = performance.now();
  const tasks = Math.ceil((slotsPerWorker * fleet.workers.length) / fleet.daemons.length);
  while (performance.now() - startedAtMs < maxRecoveryMs) {
    const attempts = await Promise.all(
      fleet.daemons.map((_, daemon) =>
        callers.send(daemon, callers.createJob(tasks, servingTaskMs)),
      ),
    );
    if (attempts.every(isCompleted) && listIdleWorkers(fleet, startedAtMs).length === 0) {
      return true;
    }
    await sleep(pollMs);
  }
  return false;
};

/** @returns ids of the workers that have started no task run since a time */
const listIdleWorkers = ({ workers }: SoakFleet, sinceMs: number): string[] =>
  workers
    .filter(({ worker }) => !worker.starts.some(({ startedAtMs }) => startedAtMs >= sinceMs))
    .map(({ worker }) => worker.workerId);
