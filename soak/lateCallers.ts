/**
 * Callers that a daemon hears late, or of whose leaving it does not hear: what they send is delayed, the ends of their
 * connections are lost, or the daemon is slow in many short pieces. Around the time at which they leave, workers of
 * its failure domain are in trouble, while the callers send their jobs again at the other one.
 */
import type { Fault, PlannedFault, PlannedRequest } from './faults.js';
import type { LinkFault } from './faultyProxy.js';
import { planWorkerTrouble } from './jointTrouble.js';
import { pickOne } from './pickOne.js';
import { neighbourOf, requestAt, shortDeadlineMs, workersBeside } from './seriesContext.js';
import type { SeriesContext } from './seriesContext.js';

/** Longest time from the trouble to a job, in milliseconds. */
const maxJobDelayMs = 1_200;
const jobsPerDaemon = 3;
const maxWorkers = 3;
const longestDeadlineMs = 3_000;
/** Shortest time after which a caller leaves early, in milliseconds. */
const minStayMs = 400;
const minTaskMs = 1_000;
/** Longest declared run time over the time until the deadline, so that a daemon doesn't refuse the job. */
const maxEstimateShare = 0.7;
/** From the leaving of a caller to the trouble of a worker, in milliseconds; before it if negative. */
const minCutDelayMs = -300;
const maxCutDelayMs = 1_300;

type JobFields = Omit<PlannedRequest, 'daemon' | 'nextDaemon'>;

/** A trouble between a daemon and its callers, jobs that meet it, and workers in trouble as the callers leave. */
export const planLateCallers = (atMs: number, context: SeriesContext): PlannedFault[] => {
  const { between, randomInt, daemons } = context;
  const daemon = randomInt(daemons);
  const requesters = [...Array<number>(jobsPerDaemon).fill(daemon), neighbourOf(daemon, context)];
  const jobs = requesters.map((requester) => {
    const sentAtMs = atMs + between(50, maxJobDelayMs);
    const fields = drawJob(context);
    const leftAtMs = sentAtMs + (fields.leavesAfterMs ?? fields.deadlineMs);
    return { leftAtMs, request: requestAt(sentAtMs, context, requester, fields) };
  });
  const trouble = planCallerTrouble(daemon, context).map((fault) => ({ atMs, fault }));
  const { leftAtMs } = pickOne(jobs.slice(0, jobsPerDaemon), randomInt);
  const workers =
    randomInt(2) === 0
      ? planDomainCut(leftAtMs, daemon, context)
      : planWorkerTroubles(leftAtMs, daemon, context);
  return [...trouble, ...jobs.map(({ request }) => request), ...workers];
};

/** All workers of the daemon's failure domain are cut off at the same time, before or after a caller leaves. */
const planDomainCut = (
  leftAtMs: number,
  daemon: number,
  context: SeriesContext,
): PlannedFault[] => {
  const { between } = context;
  const atMs = leftAtMs + between(minCutDelayMs, maxCutDelayMs);
  const durationMs = between(1_000, 2_500);
  return workersBeside(daemon, context).map((index) => ({
    atMs,
    fault: { kind: 'link', place: 'worker', index, fault: { kind: 'silent' }, durationMs },
  }));
};

/** Some workers of the daemon's failure domain are in trouble, each at a time of its own. */
const planWorkerTroubles = (
  leftAtMs: number,
  daemon: number,
  context: SeriesContext,
): PlannedFault[] => {
  const { between } = context;
  const troubles = Array.from({ length: between(1, maxWorkers) }, () =>
    planWorkerTrouble(leftAtMs + between(minCutDelayMs, maxCutDelayMs), daemon, context),
  );
  return troubles.flat();
};

/** Draws a job that is at work when its caller leaves, since its tasks last longer than declared, or its caller leaves early. */
const drawJob = ({ between, randomInt }: SeriesContext): JobFields => {
  const deadlineMs = between(shortDeadlineMs, longestDeadlineMs);
  const runMs = between(minTaskMs, longestDeadlineMs);
  const job = {
    tasks: between(1, 4),
    runMs,
    estimatedMs: Math.round(Math.min(runMs, deadlineMs * maxEstimateShare)),
    deadlineMs,
  };
  return randomInt(2) === 0 ? { ...job, leavesAfterMs: between(minStayMs, deadlineMs) } : job;
};

/** What callers send comes late or lacks its end, the daemon is slow, or both at the same time. */
const planCallerTrouble = (daemon: number, { between, randomInt }: SeriesContext): Fault[] => {
  const durationMs = between(3_000, 5_000);
  const link = (fault: LinkFault): Fault => {
    return { kind: 'link', place: 'callers', index: daemon, fault, durationMs };
  };
  const late = link({ kind: 'late-requests', delayMs: between(300, 2_000) });
  const lost = link({ kind: 'lost-ends' });
  const pausedMs = between(60, 300);
  const periodMs = pausedMs + between(40, 100);
  const slow: Fault = { kind: 'slow', daemon, pausedMs, periodMs, durationMs };
  return pickOne([[late], [lost], [slow], [late, slow], [lost, slow]], randomInt);
};
