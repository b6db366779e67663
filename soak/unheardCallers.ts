/**
 * Callers that leave early, while their daemon runs on and can't know: the ends of their connections are lost, or the
 * connections wait to be accepted by a daemon that runs for a few milliseconds at a time. Their jobs would still be at
 * work when the callers send them again, to a daemon of either failure domain.
 */
import { unreachable } from '../src/errors/unreachable.js';
import type { Fault, PlannedFault } from './faults.js';
import { planWorkerTrouble } from './jointTrouble.js';
import { pickOne } from './pickOne.js';
import { neighbourOf, requestAt } from './seriesContext.js';
import type { SeriesContext } from './seriesContext.js';

const jobsPerDaemon = 2;
const maxWorkers = 2;
/** Longest time from the trouble to a job, in milliseconds. */
const maxJobDelayMs = 600;
const minStayMs = 300;
const maxStayMs = 1_500;
/** From the leaving of a caller until its deadline, in milliseconds: longer than the time until it sends again. */
const minLeftMs = 1_800;
const maxLeftMs = 5_000;
/** Longest declared run time over the time until the deadline, so that a daemon doesn't refuse the job. */
const maxEstimateShare = 0.7;
/** From the leaving of a caller to the trouble of a worker, in milliseconds; before it if negative. */
const minTroubleDelayMs = -300;
const maxTroubleDelayMs = 1_300;
/** Small jobs that reach a slow daemon at the same time, each on a new connection. */
const waitingJobs = 30;
const smallTaskMs = 60;
const smallDeadlineMs = 1_500;

/** How callers leave unheard. */
const unheardKinds = ['lost', 'lost-slow', 'waiting', 'waiting-lost'] as const;

/** Callers of one daemon that leave unheard, and workers beside it that may be in trouble as they come back. */
export const planUnheardCallers = (atMs: number, context: SeriesContext): PlannedFault[] => {
  const daemon = context.randomInt(context.daemons);
  const trouble = planTrouble(atMs, daemon, context);
  const jobs = Array.from({ length: jobsPerDaemon }, () => planJob(atMs, daemon, context));
  return [...trouble, ...jobs, ...planWorkers(atMs, daemon, context)];
};

/** A job of long tasks, whose caller leaves early. */
const planJob = (atMs: number, daemon: number, context: SeriesContext): PlannedFault => {
  const { between } = context;
  const leavesAfterMs = between(minStayMs, maxStayMs);
  const leftMs = between(minLeftMs, maxLeftMs);
  const deadlineMs = leavesAfterMs + leftMs;
  const runMs = between(leftMs, deadlineMs);
  return requestAt(atMs + between(50, maxJobDelayMs), context, daemon, {
    ...{ tasks: between(1, 3), runMs, deadlineMs, leavesAfterMs },
    estimatedMs: Math.round(deadlineMs * maxEstimateShare),
    ...drawNextDaemon(daemon, context),
  });
};

/** Every other job is sent again within the failure domain. */
const drawNextDaemon = (daemon: number, context: SeriesContext): { nextDaemon?: number } =>
  context.randomInt(2) === 0 ? {} : { nextDaemon: neighbourOf(daemon, context) };

/** The ends of connections are lost, connections wait to be accepted, or both; in the first case the daemon may be slow. */
const planTrouble = (atMs: number, daemon: number, context: SeriesContext): PlannedFault[] => {
  const { between, randomInt } = context;
  const durationMs = between(3_000, 5_000);
  const pausedMs = between(60, 300);
  const slow = (runsMs: number): PlannedFault => {
    const periodMs = pausedMs + runsMs;
    return { atMs, fault: { kind: 'slow', daemon, pausedMs, periodMs, durationMs } };
  };
  const lost: PlannedFault = {
    atMs,
    fault: {
      ...{ kind: 'link', place: 'callers', index: daemon, durationMs },
      fault: { kind: 'lost-ends' },
    },
  };
  const kind = pickOne(unheardKinds, randomInt);
  switch (kind) {
    case 'lost':
      return [lost];
    case 'lost-slow':
      return [lost, slow(between(40, 100))];
    case 'waiting':
      return [slow(between(5, 20)), ...planWaitingJobs(atMs, daemon, context)];
    case 'waiting-lost':
      return [lost, slow(between(5, 20)), ...planWaitingJobs(atMs, daemon, context)];
    default:
      return unreachable(kind);
  }
};

/** All connections of the daemon are reset, and many jobs come at the same time, so that new ones wait. */
const planWaitingJobs = (atMs: number, daemon: number, context: SeriesContext): PlannedFault[] => {
  const reset: Fault = { kind: 'reset', place: 'callers', index: daemon };
  const jobs = Array.from({ length: waitingJobs }, () =>
    requestAt(atMs + context.between(10, maxJobDelayMs), context, daemon, {
      ...{ tasks: 1, runMs: smallTaskMs, deadlineMs: smallDeadlineMs },
    }),
  );
  return [{ atMs, fault: reset }, ...jobs];
};

/** Half of the time no worker is in trouble, since the class needs none. */
const planWorkers = (atMs: number, daemon: number, context: SeriesContext): PlannedFault[] => {
  const { between, randomInt } = context;
  if (randomInt(2) === 0) {
    return [];
  }
  const leftAtMs = atMs + between(minStayMs, maxStayMs);
  return Array.from({ length: between(1, maxWorkers) }, () =>
    planWorkerTrouble(leftAtMs + between(minTroubleDelayMs, maxTroubleDelayMs), daemon, context),
  ).flat();
};
