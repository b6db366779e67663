/**
 * Decides whether a job of which nothing has started is admitted now, waits at its requester, or is refused.
 */

/** Pause until a job that waits is looked at again, in milliseconds; short compared with the slack of any objective. */
const waitPeriodMs = 10;
/** Part of the reserve that is still left free by a job whose slack is used up. */
const agedReserveShare = 0.5;
/**
 * Least share of its recent demand, in core-milliseconds, that a route gets before the others: below it, its jobs leave
 * nothing free for more urgent ones.
 */
const minServedShare = 0.5;
/** Slack at which a waiting job is decided on, in milliseconds: for the way to a dispatcher and to the worker. */
const decisionSlackMs = 20;

/** A plan for the tasks that are to be placed, relative to now. */
export interface PlanForecast {
  /** Longest time that a task waits for free capacity, in milliseconds. */
  readonly longestWaitMs: number;
  /** Expected time until the last task ends, in milliseconds. */
  readonly endsInMs: number;
}

/** What a job leaves free for more urgent ones, and what is free, in thousandths of a core. */
export interface ReservedCapacity {
  readonly reservedCpuMillis: number;
  readonly freeCpuMillis: number;
  /** Share of the recent demand of the job's route that was admitted, 0 to 1. */
  readonly servedShare: number;
}

export interface AdmissionInput {
  /** Time left to the objective, in milliseconds. */
  readonly objectiveInMs: number;
  /** Time left until a plan would end too late to be admitted, in milliseconds. */
  readonly latestEndInMs: number;
  /** Expected run time of the job, in milliseconds. */
  readonly runMs: number;
  /** Time by which the objective exceeded the expected run time when the job arrived, in milliseconds. */
  readonly slackMs: number;
  /** Left out where no more urgent route had jobs lately, or no worker reports its load. */
  readonly reserve?: ReservedCapacity | undefined;
  /** Left out where the tasks are not planned yet: only the reserve is checked then. */
  readonly plan?: PlanForecast;
}

export type RefusalCause = 'reserved' | 'late';

export type AdmissionDecision =
  | { readonly kind: 'admit' }
  /** Nothing is sent; the job is looked at again after `waitMs` milliseconds. */
  | { readonly kind: 'wait'; readonly waitMs: number }
  /** `lateMs`: how late after its objective it was expected to end, in milliseconds. */
  | { readonly kind: 'refuse'; readonly cause: RefusalCause; readonly lateMs: number };

export const decideAdmission = (input: AdmissionInput): AdmissionDecision => {
  const { objectiveInMs, latestEndInMs, runMs, plan } = input;
  const slackLeftMs = objectiveInMs - runMs - decisionSlackMs;
  if (!leavesReserve(input)) {
    return slackLeftMs > 0
      ? { kind: 'wait', waitMs: waitPeriodMs }
      : { kind: 'refuse', cause: 'reserved', lateMs: Math.max(runMs - objectiveInMs, 0) };
  }
  const isTooLate = plan !== undefined && plan.longestWaitMs > 0 && plan.endsInMs > latestEndInMs;
  return isTooLate
    ? { kind: 'refuse', cause: 'late', lateMs: plan.endsInMs - objectiveInMs }
    : { kind: 'admit' };
};

/** Whether enough is free for more urgent jobs. A job that waits leaves less free as its slack is used up. */
const leavesReserve = ({ objectiveInMs, runMs, slackMs, reserve }: AdmissionInput): boolean => {
  if (reserve === undefined || reserve.servedShare < minServedShare) {
    return true;
  }
  const slackLeftMs = objectiveInMs - runMs - decisionSlackMs;
  const leftShare = Math.min(Math.max(slackLeftMs / Math.max(slackMs, 1), 0), 1);
  const aged = agedReserveShare + (1 - agedReserveShare) * leftShare;
  return reserve.freeCpuMillis >= reserve.reservedCpuMillis * aged;
};

/** @returns the reason of a refusal, as callers and metrics see it */
export const refusalReasons: Readonly<Record<RefusalCause, string>> = {
  reserved: 'more urgent jobs need the free capacity',
  late: 'its objective cannot be met',
};
