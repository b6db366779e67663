/**
 * What is known of a run, from what was observed of it, and what that allows: another start of its task, or a
 * crash to count. What proves nothing is `unknown`: then the run is stopped or waited for.
 */
import { unreachable } from '../errors/unreachable.js';
import type { StartReply } from '../ports/workers.js';
import type { RunEndKind } from '../types/workers.js';
import type { ActiveRun } from './activeRun.js';
import { judgeDeparture } from './lifetimeEnd.js';
import type { Departure, RunDeparture } from './lifetimeEnd.js';

/** How the worker listed the end of a run. */
export type ListedEnd =
  | { readonly how: 'done'; readonly runTimeMs: number }
  | { readonly how: Exclude<RunEndKind, 'done'> };

/** Why the worker did not accept a start. */
export type Refusal =
  /** The order was not carried out, for a reason of the worker or of the way to it. */
  | { readonly why: 'not-carried-out'; readonly reason: string }
  /** The worker has ended a run of the task with this number or a higher one. */
  | { readonly why: 'used-number' }
  /** The worker rejected the order as not valid. */
  | { readonly why: 'invalid'; readonly reason: string };

/** Why no order of this daemon reached the worker until its leases had ended. */
export type Silence =
  | 'silent'
  /** Its entry says that it is about to leave. */
  | 'draining'
  /** Another daemon dispatches to it. */
  | 'fenced';

export type RunEvidence =
  | { readonly kind: 'ended'; readonly end: ListedEnd }
  /** The worker has confirmed the stop, and a later report does not list the run. */
  | { readonly kind: 'stopped' }
  /** Every lease that could cover the run is over by the worker's clock, however slow that is. */
  | { readonly kind: 'lapsed'; readonly cause: Silence }
  /** The run began in a lifetime of the worker that is over, since a later one has reported. */
  | { readonly kind: 'gone-with-lifetime'; readonly departure: RunDeparture }
  | { readonly kind: 'never-accepted'; readonly refusal: Refusal }
  /** A report that was requested after the acknowledgement of the start does not list the run. */
  | { readonly kind: 'absent' }
  /** Its leases are over, but a later lifetime of the worker may still carry out its start, which was never answered. */
  | { readonly kind: 'start-in-doubt' }
  | { readonly kind: 'unknown'; readonly reason: string };

/** The reply to a start: the run is accepted, or what is known of it instead. */
export type StartEvidence =
  { readonly kind: 'accepted' } | Extract<RunEvidence, { kind: 'never-accepted' | 'unknown' }>;

/** What a report tells of the runs that it does not list. */
export interface ReportContext {
  /** When the report was requested, in monotonic time. */
  readonly requestedAtMs: number;
  /** Lifetime of the worker that the report is of, if it states it. */
  readonly lifetimeMs: number | undefined;
  /** Earliest and latest start of that lifetime, in monotonic time. */
  readonly earliestStartMs: number;
  readonly latestStartMs: number;
  /** Whether an earlier lifetime was expected to end. */
  readonly departure: Departure;
  /** Earliest end of the lease that was renewed with the request, in monotonic time, if one was. */
  readonly coveredUntilMs: number | undefined;
}

/** What follows for the task of a run. */
export type TaskConsequence =
  | { readonly kind: 'done'; readonly runTimeMs: number }
  /** Every worker would reject it. */
  | { readonly kind: 'rejected'; readonly reason: string }
  /** It certainly runs nowhere, so that it may start again, here or elsewhere. */
  | { readonly kind: 'may-start'; readonly why: 'run-ended' | 'run-failed' | 'number-used' }
  /** It may still run. */
  | { readonly kind: 'must-not-start' };

/**
 * What a run says about its task as the cause of a crash: nothing, or a lost worker under it. A silent one may turn out
 * not to have crashed.
 */
export type Suspicion = 'none' | 'suspected' | 'likely' | 'unclear';

/**
 * Time from the acknowledgement of a stop until the run has certainly ended. It uses its capacity until then,
 * though reports may no longer list it.
 */
export const maxStopMs = 60;

/** Judges the end of a run that its worker has listed. */
export const evidenceOfListedEnd = (
  run: ActiveRun,
  how: RunEndKind,
  nowMs: number,
): RunEvidence => {
  const startedAtMs = run.startedAtMs ?? run.startSentAtMs;
  return how === 'done'
    ? { kind: 'ended', end: { how, runTimeMs: nowMs - startedAtMs } }
    : { kind: 'ended', end: { how } };
};

/** Judges a run that is not in a report of its worker, neither as running nor as ended. */
export const evidenceOfUnlistedRun = (run: ActiveRun, report: ReportContext): RunEvidence => {
  if (hasOtherLifetime(run, report)) {
    return { kind: 'gone-with-lifetime', departure: judgeDeparture(run, report) };
  }
  const { startedAtMs, stopAcknowledgedAtMs } = run;
  switch (run.phase) {
    case 'starting':
      return { kind: 'unknown', reason: 'its start may arrive after the report was written' };
    case 'running':
      return startedAtMs !== undefined && startedAtMs < report.requestedAtMs
        ? { kind: 'absent' }
        : { kind: 'unknown', reason: 'the report was requested before its start was acknowledged' };
    case 'stopping':
    case 'in-doubt':
      return stopAcknowledgedAtMs !== undefined &&
        stopAcknowledgedAtMs + maxStopMs <= report.requestedAtMs
        ? evidenceOfStop(run, report)
        : { kind: 'unknown', reason: 'its stop may not have taken effect' };
    default:
      return unreachable(run.phase);
  }
};

/** Judges a run by the reply to its start. */
export const evidenceOfStartReply = (reply: StartReply): StartEvidence => {
  switch (reply.kind) {
    case 'started':
      return { kind: 'accepted' };
    case 'refused':
      return reply.reason === 'used-number'
        ? { kind: 'never-accepted', refusal: { why: 'used-number' } }
        : notCarriedOut(reply.reason);
    case 'invalid':
      return { kind: 'never-accepted', refusal: { why: 'invalid', reason: reply.detail } };
    case 'stale-token':
    case 'replaced':
    case 'unhealthy':
    case 'unreachable':
      return notCarriedOut(reply.kind);
    case 'disconnected':
    case 'no-answer':
      return { kind: 'unknown', reason: `no answer to its start: ${reply.detail}` };
    default:
      return unreachable(reply);
  }
};

/** Decides what follows for the task of a run. */
export const consequenceOf = (evidence: RunEvidence): TaskConsequence => {
  switch (evidence.kind) {
    case 'ended':
      return consequenceOfEnd(evidence.end);
    case 'never-accepted':
      return consequenceOfRefusal(evidence.refusal);
    case 'stopped':
    case 'lapsed':
    case 'gone-with-lifetime':
    case 'absent':
      return { kind: 'may-start', why: 'run-ended' };
    case 'start-in-doubt':
    case 'unknown':
      return { kind: 'must-not-start' };
    default:
      return unreachable(evidence);
  }
};

const consequenceOfEnd = (end: ListedEnd): TaskConsequence => {
  switch (end.how) {
    case 'done':
      return { kind: 'done', runTimeMs: end.runTimeMs };
    case 'failed':
      return { kind: 'may-start', why: 'run-failed' };
    case 'stopped':
    case 'lapsed':
    case 'broken':
    case 'alone':
      return { kind: 'may-start', why: 'run-ended' };
    default:
      return unreachable(end);
  }
};

const consequenceOfRefusal = (refusal: Refusal): TaskConsequence => {
  switch (refusal.why) {
    case 'invalid':
      return { kind: 'rejected', reason: refusal.reason };
    case 'used-number':
      return { kind: 'may-start', why: 'number-used' };
    case 'not-carried-out':
      return { kind: 'may-start', why: 'run-ended' };
    default:
      return unreachable(refusal);
  }
};

/**
 * Judges the task of a run as the cause of a crash. Neither silence nor the end of a lifetime at an unclear time proves
 * one, but the task is run alone from then on; a worker that was expected to leave is not held against it.
 */
export const suspicionOf = (evidence: RunEvidence): Suspicion => {
  switch (evidence.kind) {
    case 'gone-with-lifetime':
      return suspicionOfDeparture(evidence.departure);
    case 'lapsed':
      return evidence.cause === 'silent' ? 'suspected' : 'none';
    case 'ended':
    case 'stopped':
    case 'never-accepted':
    case 'absent':
    case 'start-in-doubt':
    case 'unknown':
      return 'none';
    default:
      return unreachable(evidence);
  }
};

const suspicionOfDeparture = (departure: RunDeparture): Suspicion => {
  switch (departure) {
    case 'likely-crash':
      return 'likely';
    case 'unclear':
      return 'unclear';
    case 'expected':
      return 'none';
    default:
      return unreachable(departure);
  }
};

/** Describes what is known of a run, for logs and metrics. */
export const describeEvidence = (
  evidence: RunEvidence,
): { readonly outcome: string; readonly reason?: string } => {
  const { kind } = evidence;
  switch (kind) {
    case 'ended': {
      const { how } = evidence.end;
      return how === 'done' || how === 'failed' ? { outcome: how } : { outcome: kind, reason: how };
    }
    case 'never-accepted':
      return { outcome: kind, reason: describeRefusal(evidence.refusal) };
    case 'lapsed':
      return { outcome: kind, reason: evidence.cause };
    case 'gone-with-lifetime':
      return { outcome: kind, reason: evidence.departure };
    case 'unknown':
      return { outcome: kind, reason: evidence.reason };
    case 'stopped':
    case 'absent':
    case 'start-in-doubt':
      return { outcome: kind };
    default:
      return unreachable(evidence);
  }
};

const describeRefusal = (refusal: Refusal): string => {
  switch (refusal.why) {
    case 'not-carried-out':
      return refusal.reason;
    case 'used-number':
      return refusal.why;
    case 'invalid':
      return `${refusal.why}: ${refusal.reason}`;
    default:
      return unreachable(refusal);
  }
};

const notCarriedOut = (reason: string): StartEvidence => ({
  kind: 'never-accepted',
  refusal: { why: 'not-carried-out', reason },
});

/**
 * Judges a run that its worker has stopped and does not list. Where a later lifetime than the one that the start was sent
 * to has acknowledged the stop, the run may have gone with the earlier one.
 */
const evidenceOfStop = (run: ActiveRun, report: ReportContext): RunEvidence => {
  const isOtherLifetime = run.startedAtMs === undefined && run.orderedInMs !== report.lifetimeMs;
  return isOtherLifetime && report.latestStartMs >= run.startSentAtMs
    ? { kind: 'gone-with-lifetime', departure: judgeDeparture(run, report) }
    : { kind: 'stopped' };
};

/** Whether a run was accepted in an earlier lifetime than the one that reports: by its start, or by its clock. */
const hasOtherLifetime = (run: ActiveRun, report: ReportContext): boolean => {
  if (run.lifetimeMs === undefined) {
    return run.startedAtMs !== undefined && run.startedAtMs < report.earliestStartMs;
  }
  return report.lifetimeMs !== undefined && run.lifetimeMs !== report.lifetimeMs;
};
