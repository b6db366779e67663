/**
 * Types of the queue of waiting tasks.
 */
import type { CallerClass, Operation } from '../types/inventory.js';
import type { TaskOutcome } from '../types/jobs.js';
import type { Task } from '../placement/types.js';
import type { Deferred } from '../utils/deferred.js';

/** A task without an outcome yet, waiting or running, with the promise of its outcome. */
export interface PendingTask {
  readonly task: Task;
  readonly outcome: Deferred<TaskOutcome>;
  /** Attempts and offloads so far; their number distinguishes them at the endpoint or the peer. */
  attempts: number;
}

/** Class and team under which the work of a caller is queued and charged. */
export interface CallerGroup {
  readonly callerClass: CallerClass;
  readonly teamId: string;
}

/** A task in the queue, with the class and team under which it is queued. */
export interface QueuedTask extends CallerGroup {
  readonly entry: PendingTask;
  /** Slot-time that the task is expected to take, in milliseconds. */
  readonly expectedMs: number;
}

/** Returns whether a task of the operation can start now. */
export type IsRunnable = (operation: Operation) => boolean;
