/**
 * Refuses a job early that the quota of its team does not let end in time.
 */
import { createProblem } from '../errors/problem.js';
import type { Problem } from '../errors/problem.js';
import type { TaskQueue } from '../queue/taskQueue.js';
import type { JobDemand } from './expectedWait.js';
import type { QuotaLimit } from './quotaGate.js';

const msPerS = 1_000;
/** Time to wait where this daemon has no part of the quota. */
const noSharePauseMs = 1_000;

/**
 * Checks a job against the quota of its team.
 *
 * @param queue - the waiting work
 * @param quota - what the team may use here at most
 * @param demand - the job
 * @param deadlineMs - time that the job has
 * @returns an `over-quota` problem with the time to wait, or nothing
 */
export const checkQuota = (
  queue: TaskQueue,
  quota: QuotaLimit,
  demand: JobDemand,
  deadlineMs: number,
): Problem | undefined => {
  const ownMs = expectQuotaMs(queue, quota, demand, 0, 0);
  const { callerClass, teamId } = demand.standing;
  const waiting = queue.waitingOf(callerClass).team(teamId)?.waiting;
  const waitingMs = waiting?.slotTimeMs((one) => queue.runTimes.typicalMs(one)) ?? 0;
  const endMs = expectQuotaMs(queue, quota, demand, waiting?.total ?? 0, waitingMs);
  if (endMs <= deadlineMs) {
    return undefined;
  }
  const detail = 'The quota of the team does not let the job end before its deadline.';
  const retryAfterMs = endMs === Infinity ? noSharePauseMs : Math.ceil(endMs - deadlineMs);
  return createProblem('over-quota', detail, ownMs <= deadlineMs ? { retryAfterMs } : {});
};

/** Time until a team's waiting work and a new job have run within the quota. */
const expectQuotaMs = (
  queue: TaskQueue,
  quota: QuotaLimit,
  { operations }: JobDemand,
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
