/**
 * Types of the queue of waiting tasks.
 */
import type { CallerClass, Operation } from '../types/inventory.js';
import type { TaskOutcome } from '../types/jobs.js';
import type { Task } from '../placement/types.js';
import type { Deferred } from '../utils/deferred.js';

/** A task that waits, with the promise of its outcome. */
export interface WaitingTask {
  readonly task: Task;
  readonly outcome: Deferred<TaskOutcome>;
  /** Attempts so far that certainly did not start. */
  attempts: number;
}

/** Class and team that a caller's work counts to. */
export interface Standing {
  readonly callerClass: CallerClass;
  readonly teamId: string;
}

/** A waiting task with its standing and the slot-time that it is expected to take. */
export interface QueuedTask extends Standing {
  readonly entry: WaitingTask;
  readonly expectedMs: number;
}

/** Tells whether a task of the operation can start now. */
export type IsRunnable = (operation: Operation) => boolean;
