/**
 * Types of the placement of tasks on endpoints.
 */
import type { CallerClass, Operation } from '../inventory/types.js';

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
}

/** How the endpoint of a task is chosen; the last two are baselines. */
export type PlacementPolicy =
  | { readonly kind: 'expected-completion' }
  | { readonly kind: 'random' }
  | { readonly kind: 'least-connections' };
