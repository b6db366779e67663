/**
 * Times within which the runs of a requester that is gone end: its dispatchers stop them before its caller
 * can have sent the job again to another daemon. All are in milliseconds.
 */
import { longestLeaseDurationMs, maxDrift, sendSlackMs } from '../dispatch/leaseTimes.js';
import type { LeaseTimes } from '../dispatch/leaseTimes.js';
import { maxStopMs } from '../dispatch/runEvidence.js';
import { longestPauseMs } from '../utils/periodicSleep.js';

/** Heartbeats are sent at multiples of this time. */
export const heartbeatTickMs = 300;

/** A peer is unreachable after a silence of this many periods of its heartbeats. */
export const maxSilentPeriods = 3;

/**
 * Longest silence of a daemon that shares batches. A requester's lease ends with it, and a
 * requester takes a dispatcher for lost after it.
 */
export const maxSharingSilenceMs = maxSilentPeriods * heartbeatTickMs;

/** Period in which the leases of requesters are checked, and in which a daemon makes sure of having read its sockets. */
export const requesterCheckPeriodMs = 50;

/** Longest time that a stop order takes to a reachable worker. */
const stopDeliveryMs = 100;

/**
 * Shortest time after which a caller whose connection broke sends its job again, if no setting states it. It holds for one
 * whose request was read; another one may go elsewhere at once.
 */
export const minCallerResendMs = 1_300;

/** Allowance for the delivery of a message, in milliseconds, by which the age of messages may be estimated too low. */
export const deliverySlackMs = 20;
/** Longest time for which what a caller has sent may wait unread in a process that does not count as held up. */
const unreadSlackMs = longestPauseMs(requesterCheckPeriodMs);

/** Time from the end of a job until its runs have ended, where a stop reaches their workers without delay. */
const promptStopMs = deliverySlackMs + maxStopMs;

/** Least time from the reading of a request for which its tasks may start, however short its deadline is. */
const minStartWindowMs = 400;

/** Time from the last message of a requester until none of its runs goes on, where its workers obey. */
export const requesterRunsEndMs =
  maxSharingSilenceMs + longestPauseMs(requesterCheckPeriodMs) + stopDeliveryMs + maxStopMs;

/**
 * Whether the runs of a lost requester end before its caller sends the job again.
 *
 * @param callerResendMs - as the settings state it
 */
export const runsEndBeforeResend = (callerResendMs = minCallerResendMs): boolean =>
  requesterRunsEndMs < callerResendMs;

/**
 * Computes the times of the leases on workers. A run whose worker no stop reaches ends with its lease, so that
 * the lease has to end before the caller can have sent its job again, counted from the last word of the
 * requester. A lease of full length can be issued between two heartbeats of a requester.
 *
 * @param longestLeaseMs - longest lease that a worker accepts
 * @param callerResendMs - as the settings state it
 */
export const leaseTimesFor = (
  longestLeaseMs: number,
  callerResendMs = minCallerResendMs,
): LeaseTimes => {
  const confirmationMs = callerResendMs - deliverySlackMs - unreadSlackMs;
  const leftMs = confirmationMs - longestPauseMs(heartbeatTickMs) - sendSlackMs;
  const leaseMs = Math.min(longestLeaseMs, Math.floor(leftMs / (1 + maxDrift)));
  return { leaseMs, longestLeaseMs, confirmationMs };
};

/** Times of a job that follow from its caller's deadline, from when its request was read. */
export interface DeadlineTimes {
  /** Time after which the job is given up: its answer still reaches the caller, and its runs are stopped. */
  readonly giveUpMs: number;
  /** Time by which no run of the job goes on, whether a stop reaches its worker or not. */
  readonly runsEndMs: number;
}

/**
 * Computes the times of a job from its caller's deadline. The caller counts the deadline from when it sent the request,
 * and sends the job again some time after it. Runs that end by the deadline as it is counted here have therefore ended by
 * then, though the request may have been read late by as much as that time.
 *
 * @param deadlineMs - time for which the caller waits
 * @param leaseTimes - a task starts only while a full lease ends in time
 */
export const deadlineTimesFor = (deadlineMs: number, leaseTimes: LeaseTimes): DeadlineTimes => {
  const runsEndMs = Math.min(
    Math.max(deadlineMs, longestLeaseDurationMs(leaseTimes) + minStartWindowMs),
    deadlineMs + leaseTimes.confirmationMs,
  );
  const giveUpMs = Math.max(Math.min(deadlineMs, runsEndMs - promptStopMs), 0);
  return { giveUpMs, runsEndMs };
};
