/**
 * Types of the placement of tasks on endpoints.
 */
import type { Objective } from '../types/configuration.js';
import type { CallerClass, Operation } from '../types/inventory.js';

/** One task of a job, with what the scheduler needs to queue, place and run it. */
export interface Task {
  readonly taskId: string;
  readonly jobId: string;
  readonly callerId: string;
  readonly teamId: string;
  readonly callerClass: CallerClass;
  readonly operation: Operation;
  readonly input: unknown;
  /** Deadline as monotonic time of this process, in milliseconds. */
  readonly deadlineAtMs: number;
  /** Whether a peer offloaded the task to this daemon; such a task does not go to another peer. */
  readonly isOffloaded?: boolean;
}

/** How the endpoint of a task is chosen; the last two are baselines to compare with. */
export type PlacementPolicy =
  | { readonly kind: 'expected-completion' }
  | { readonly kind: 'random' }
  | { readonly kind: 'least-connections' };

/** The part of the configured rules that placement follows. */
export interface PlacementRules {
  /** What the deployment gives more weight to: response time or messages. */
  readonly objective: Objective;
  /** Retries allowed per first attempt, between 0 and 1. */
  readonly retryShare: number;
}

/** Rules until the first configuration arrives. */
export const defaultPlacementRules: PlacementRules = { objective: 'messages', retryShare: 0 };
