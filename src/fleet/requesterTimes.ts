/**
 * Times within which the runs of a requester that is gone end: its dispatchers stop them before its caller
 * can have sent the job again to another daemon. All are in milliseconds.
 */
import { maxDrift, sendSlackMs } from '../dispatch/leaseTimes.js';
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

/** Period in which the leases of requesters are checked. */
export const requesterCheckPeriodMs = 100;

/** Longest time that a stop order takes to a reachable worker. */
const stopDeliveryMs = 100;

/** Shortest time after which a caller whose connection broke sends its job again, if no setting states it. */
export const minCallerResendMs = 1_300;

/** Allowance for the delivery of a message, in milliseconds, by which the age of messages may be estimated too low. */
const deliverySlackMs = 60;

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
  const confirmationMs = callerResendMs - deliverySlackMs;
  const leftMs = confirmationMs - longestPauseMs(heartbeatTickMs) - sendSlackMs;
  const leaseMs = Math.min(longestLeaseMs, Math.floor(leftMs / (1 + maxDrift)));
  return { leaseMs, longestLeaseMs, confirmationMs };
};
