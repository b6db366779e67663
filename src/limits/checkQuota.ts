/**
 * Refuses a job at its submission if the quota of its team does not let it end before its deadline.
 */
import { createProblem } from '../errors/problem.js';
import type { Problem } from '../errors/problem.js';
import type { TaskQueue } from '../queue/taskQueue.js';
import type { NewJob } from './expectedWait.js';
import type { QuotaLimit } from './quotaLimiter.js';

const msPerS = 1_000;
/**
 * Time to wait where this daemon has no share of the quota. Not sent at present, since the job does
 * not fit alone then either.
 */
const noShareRetryAfterMs = 1_000;

/**
 * Checks a job against the quota of its team.
 *
 * @param queue - the waiting work
 * @param quota - the most that the team may use on this daemon
 * @param job - the job
 * @param deadlineMs - time from now until the job's deadline
 * @returns an `over-quota` problem, or undefined where the job fits; the problem has a time to wait
 *   where the job would fit without the team's waiting work
 */
export const checkQuota = (
  queue: TaskQueue,
  quota: QuotaLimit,
  job: NewJob,
  deadlineMs: number,
): Problem | undefined => {
  const aloneMs = estimateQuotaTimeMs(queue, quota, job, 0, 0);
  const { callerClass, teamId } = job.callerGroup;
  const waiting = queue.classQueueOf(callerClass).team(teamId)?.waiting;
  const waitingMs = waiting?.estimateSlotTimeMs((one) => queue.runTimes.typicalMs(one)) ?? 0;
  const endMs = estimateQuotaTimeMs(queue, quota, job, waiting?.total ?? 0, waitingMs);
  if (endMs <= deadlineMs) {
    return undefined;
  }
  const detail = 'The quota of the team does not let the job end before its deadline.';
  const retryAfterMs = endMs === Infinity ? noShareRetryAfterMs : Math.ceil(endMs - deadlineMs);
  return createProblem('over-quota', detail, aloneMs <= deadlineMs ? { retryAfterMs } : {});
};

/**
 * Estimates the time until a team's waiting work and a new job have run within the quota: the
 * larger of what the rate of starts and what the slots allow.
 *
 * @param waitingTasks - tasks of the team that wait already
 * @param waitingMs - slot-time that they are expected to take
 * @returns milliseconds; `Infinity` where the quota lets nothing start
 */
const estimateQuotaTimeMs = (
  queue: TaskQueue,
  quota: QuotaLimit,
  { operations }: NewJob,
  waitingTasks: number,
  waitingMs: number,
): number => {
  if (quota.startsPerS === 0 || quota.slots === 0) {
    return Infinity;
  }
  const jobMs = operations
    .filter((operation) => queue.runTimes.isObserved(operation))
    .reduce((sumMs, operation) => sumMs + queue.runTimes.typicalMs(operation), 0);
  const startsMs = ((waitingTasks + operations.length - 1) / quota.startsPerS) * msPerS;
  return Math.max(startsMs, (waitingMs + jobMs) / quota.slots);
};
