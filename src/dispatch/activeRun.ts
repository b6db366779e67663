/**
 * A run of a task on a worker, from the order to start it until it certainly runs no more.
 */
import type { Resources } from '../types/resources.js';
import type { BatchedTask } from './openBatch.js';

/** How far a run is. */
export type RunPhase = 'starting' | 'running' | 'stopping';

export interface ActiveRun {
  readonly task: BatchedTask;
  readonly taskName: string;
  readonly run: number;
  readonly needs: Resources;
  readonly orderedAtMs: number;
  readonly expectedMs: number;
  phase: RunPhase;
  /** When the worker acknowledged the start; nothing before. */
  startedAtMs: number | undefined;
  /** When the worker acknowledged a stop; nothing before. */
  stopAcknowledgedAtMs: number | undefined;
}

/** How a run ended, or that it never began. */
export type RunOutcome =
  | { readonly kind: 'done'; readonly runTimeMs: number }
  | { readonly kind: 'failed' }
  /** The worker never began it. */
  | { readonly kind: 'not-started'; readonly reason: string }
  /** The worker has ended a run of this number or a higher one. */
  | { readonly kind: 'used-number' }
  /** The order itself is not valid. */
  | { readonly kind: 'invalid'; readonly reason: string }
  /** It may have run, and certainly runs no more. */
  | { readonly kind: 'lost'; readonly reason: string };
