/**
 * Times within which the runs of a requester that is gone end: its dispatchers stop them before its caller
 * can have sent the job again to another daemon. All are in milliseconds.
 */
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

/** Time from the last message of a requester until none of its runs goes on. */
export const requesterRunsEndMs =
  maxSharingSilenceMs + longestPauseMs(requesterCheckPeriodMs) + stopDeliveryMs + maxStopMs;

/**
 * Whether the runs of a lost requester end before its caller sends the job again.
 *
 * @param callerResendMs - as the settings state it
 */
export const runsEndBeforeResend = (callerResendMs = minCallerResendMs): boolean =>
  requesterRunsEndMs < callerResendMs;
