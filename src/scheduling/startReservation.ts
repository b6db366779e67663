/**
 * Reserves a worker for the first task that cannot start, and decides which tasks behind it may use the worker until then.
 */
import type { CapacityProfile } from '../dispatch/capacityProfile.js';

/** A worker that a task may wait for. */
export interface WorkerOutlook {
  readonly workerId: string;
  readonly profile: CapacityProfile;
}

/** A worker that is kept for a task from a forecast time on. */
export interface StartReservation {
  readonly workerId: string;
  /** When the task is forecast to start there, in monotonic time. */
  readonly startAtMs: number;
}

/**
 * A worker takes over a reservation only if it is forecast to be free this much sooner: forecasts of the same runs
 * vary by a few milliseconds from pass to pass.
 */
const minGainMs = 5;

/**
 * Finds the worker on which a task is forecast to start first. Workers whose cores suffice now are left out, since
 * something else keeps the task from starting there.
 *
 * @param cpuMillis - cores that the task needs, in thousandths
 * @param workers - the workers that may run it
 * @param nowMs - monotonic time
 * @param current - worker that is reserved for the task by now
 */
export const findReservation = (
  cpuMillis: number,
  workers: readonly WorkerOutlook[],
  nowMs: number,
  current?: string,
): StartReservation | undefined => {
  let best: StartReservation | undefined;
  let bestInMs = Infinity;
  for (const { workerId, profile } of workers) {
    const startsInMs = profile.startsInMs(cpuMillis);
    const comparedMs = workerId === current ? startsInMs - minGainMs : startsInMs;
    if (startsInMs > 0 && comparedMs < bestInMs) {
      best = { workerId, startAtMs: nowMs + startsInMs };
      bestInMs = comparedMs;
    }
  }
  return best;
};

/**
 * Whether a task behind a reservation may start on a worker now: on the reserved one only if it is forecast to end
 * before the reserved start.
 *
 * @param reservation - the reservation
 * @param workerId - the worker
 * @param endAtMs - when the task is forecast to end there, in monotonic time
 */
export const mayBackfill = (
  reservation: StartReservation,
  workerId: string,
  endAtMs: number,
): boolean => workerId !== reservation.workerId || endAtMs <= reservation.startAtMs;
