/**
 * Types of the placement of tasks on endpoints.
 */
import type { Objective } from '../types/configuration.js';
import type { CallerClass, Operation } from '../types/inventory.js';

/** One task of a job, as the scheduler sees it. */
export interface Task {
  readonly taskId: string;
  readonly jobId: string;
  readonly callerId: string;
  readonly teamId: string;
  readonly callerClass: CallerClass;
  readonly operation: Operation;
  readonly input: unknown;
  /** Monotonic time of this process, in milliseconds. */
  readonly deadlineAtMs: number;
  /** Whether a peer passed the task here; such a task does not travel on. */
  readonly isOffloaded?: boolean;
}

/** How the endpoint of a task is chosen; the last two are baselines. */
export type PlacementPolicy =
  | { readonly kind: 'expected-completion' }
  | { readonly kind: 'random' }
  | { readonly kind: 'least-connections' };

/** The rules that placement follows. */
export interface PlacementRules {
  readonly objective: Objective;
  /** Retries and hedges allowed per first try, between 0 and 1. */
  readonly retryShare: number;
}

/** Rules before the first configuration. */
export const defaultPlacementRules: PlacementRules = { objective: 'messages', retryShare: 0 };
