/**
 * A run of a task on a worker, from the order to start it until it can no longer be running.
 */
import type { Resources } from '../types/resources.js';
import type { BatchedTask } from './openBatch.js';

/** Phase of a run: start not yet confirmed, confirmed, or stop ordered. */
export type RunPhase = 'starting' | 'running' | 'stopping';

export interface ActiveRun {
  readonly task: BatchedTask;
  /** Name of the task on the worker. */
  readonly taskName: string;
  /** Number of the run; rises with each run of the task. */
  readonly run: number;
  /** Resources that the run occupies. */
  readonly needs: Resources;
  /** When the start was ordered, in monotonic time. */
  readonly startSentAtMs: number;
  /** Expected run time, in milliseconds. */
  readonly expectedMs: number;
  phase: RunPhase;
  /** When the worker first acknowledged the start or reported the run; undefined before. */
  startedAtMs: number | undefined;
  /** When the worker first acknowledged a stop; undefined before. */
  stopAcknowledgedAtMs: number | undefined;
}

/** How a run ended, or why it did not start. */
export type RunOutcome =
  | { readonly kind: 'done'; readonly runTimeMs: number }
  | { readonly kind: 'failed' }
  /** The worker certainly did not start it. */
  | { readonly kind: 'not-started'; readonly reason: string }
  /** The worker refused it: it has ended a run of the task with this number or a higher one. */
  | { readonly kind: 'used-number' }
  /** The worker rejected the order as not valid. */
  | { readonly kind: 'invalid'; readonly reason: string }
  /** It may have run and can no longer be running. */
  | { readonly kind: 'lost'; readonly reason: string }
  /** Its worker restarted, or was silent until the lease had ended; the run may be the cause. */
  | { readonly kind: 'worker-lost'; readonly reason: string };
