/**
 * A daemon and workers in trouble together: a daemon is lost to its callers and to the others, and shortly after
 * that, workers of its failure domain are, too. So orders that end the runs of a lost job meet workers that they
 * do not reach, while the callers send their jobs again at the other failure domain.
 */
import type { Fault, PlannedFault } from './faults.js';
import type { WorkerFault } from '../standins/platform/workerFault.js';
import { pickOne } from './pickOne.js';
import { neighbourOf, requestAt, shortDeadlineMs, workersBeside } from './seriesContext.js';
import type { SeriesContext } from './seriesContext.js';

/** Longest time from the trouble of the daemon to that of a worker, in milliseconds. */
const maxDelayMs = 1_200;
/** Longest time from a job to the trouble of the daemon, so that the job is at work then, in milliseconds. */
const maxLeadMs = 900;
const jobsPerDaemon = 3;
const maxWorkers = 3;

/** Jobs at a daemon and at one beside it, then the trouble of that daemon, then that of some workers. */
export const planJointTrouble = (atMs: number, context: SeriesContext): PlannedFault[] => {
  const { between, randomInt, daemons } = context;
  const daemon = randomInt(daemons);
  const troubleAtMs = atMs + maxLeadMs;
  const requesters = [...Array<number>(jobsPerDaemon).fill(daemon), neighbourOf(daemon, context)];
  const jobs = requesters.map((requester) =>
    requestAt(troubleAtMs - between(50, maxLeadMs), context, requester, {
      tasks: between(2, 6),
      runMs: between(700, 1_400),
      deadlineMs: shortDeadlineMs,
    }),
  );
  const workers = Array.from({ length: between(1, maxWorkers) }, () =>
    planWorkerTrouble(troubleAtMs + between(0, maxDelayMs), daemon, context),
  );
  return [...jobs, ...planDaemonTrouble(troubleAtMs, daemon, context), ...workers.flat()];
};

/** The daemon is killed, killed again and again, paused, or cut off from its callers and the store. */
const planDaemonTrouble = (
  atMs: number,
  daemon: number,
  { between, randomInt }: SeriesContext,
): PlannedFault[] => {
  const durationMs = between(1_200, 3_000);
  const cut = (place: 'callers' | 'store', kind: 'resetting' | 'silent'): Fault => {
    return { kind: 'link', place, index: daemon, fault: { kind }, durationMs };
  };
  const troubles: readonly (readonly Fault[])[] = [
    [{ kind: 'kill', daemon, durationMs }],
    [{ kind: 'kill-again', daemon, kills: between(1, 3) }],
    [{ kind: 'pause', daemon, durationMs }],
    [cut('callers', 'resetting'), cut('store', 'silent')],
  ];
  return pickOne(troubles, randomInt).map((fault) => ({ atMs, fault }));
};

/** A worker of the daemon's failure domain is cut off, refuses, carries orders out late, or crashes behind a cut. */
export const planWorkerTrouble = (
  atMs: number,
  daemon: number,
  context: SeriesContext,
): PlannedFault[] => {
  const { between, randomInt } = context;
  const index = pickOne(workersBeside(daemon, context), randomInt);
  const durationMs = between(800, 2_000);
  const silent: Fault = {
    ...{ kind: 'link', place: 'worker', index, durationMs },
    fault: { kind: 'silent' },
  };
  const lateStarts: WorkerFault = { kind: 'late-starts', delayMs: between(200, 1_500) };
  const crash: Fault = { kind: 'worker-crash', index, durationMs: between(300, 900) };
  const troubles: readonly (readonly PlannedFault[])[] = [
    [{ atMs, fault: silent }],
    [{ atMs, fault: { kind: 'worker', index, fault: { kind: 'cut' }, durationMs } }],
    [{ atMs, fault: { kind: 'worker', index, fault: lateStarts, durationMs } }],
    [{ atMs, fault: { ...silent, fault: { kind: 'refused' } } }],
    [{ atMs, fault: { ...silent, fault: { kind: 'delayed', delayMs: between(200, 900) } } }],
    [
      { atMs, fault: silent },
      { atMs: atMs + between(100, 700), fault: crash },
    ],
  ];
  return [...pickOne(troubles, randomInt)];
};
