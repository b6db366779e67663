/**
 * Decides whether a request that waited before it was read can still be of use to its caller.
 */
import { giveUpAfterMs } from '../bestEffort/objective.js';

/** Declared run times are often too long: a job may take this share of what it declares. */
const shortestRunShare = 0.5;

export interface ReadRequest {
  /**
   * Time for which the request certainly waited before it was read, in milliseconds. One that only may have waited, unread
   * in a slow process, may just as well have arrived a moment ago.
   */
  readonly waitedMs: number;
  /** How long its caller waits, from when it sent the request, in milliseconds. */
  readonly deadlineMs: number;
  /** Time from the start to the end of the job by its declared run times, in milliseconds. */
  readonly declaredMs: number;
  /** Objective by its declared run times, in milliseconds. */
  readonly objectiveMs: number;
}

export type Timeliness =
  | { readonly kind: 'in-time' }
  /** `shortMs`: how much longer the caller would have to wait, in milliseconds. */
  | { readonly kind: 'too-late'; readonly shortMs: number };

/**
 * Compares the shortest likely run with the time left until the caller leaves or a response has no value. A request that
 * has not waited is in time: its plan decides.
 */
export const timelinessOf = ({
  waitedMs,
  deadlineMs,
  declaredMs,
  objectiveMs,
}: ReadRequest): Timeliness => {
  const lastUsefulMs = Math.min(deadlineMs, giveUpAfterMs(objectiveMs));
  const shortMs = waitedMs + shortestRunShare * declaredMs - lastUsefulMs;
  return waitedMs > 0 && shortMs > 0 ? { kind: 'too-late', shortMs } : { kind: 'in-time' };
};
