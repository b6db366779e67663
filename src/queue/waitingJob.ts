/**
 * Orders the waiting tasks of one job: the one with the longest expected slot-time goes first.
 */
import type { Operation } from '../types/inventory.js';
import type { IsRunnable, QueuedTask } from './types.js';

/** The waiting tasks of one operation, first in, first out. */
interface OperationTasks {
  readonly tasks: QueuedTask[];
  /** Index of the first task that still waits. */
  head: number;
}

export class WaitingJob {
  private readonly tasksByOperation = new Map<Operation, OperationTasks>();
  /** Sum of the expected slot-time of the waiting tasks, in milliseconds. */
  private waitingMs = 0;

  private constructor(
    readonly jobId: string,
    private readonly teamServedMsAtArrival: number,
  ) {}

  /**
   * Creates a job without tasks.
   *
   * @param jobId - the job
   * @param teamServedMsAtArrival - slot-time that the job's team had got when the job arrived, in
   *   milliseconds
   */
  static create(jobId: string, teamServedMsAtArrival: number): WaitingJob {
    return new WaitingJob(jobId, teamServedMsAtArrival);
  }

  /**
   * Rank of the job in its team; the lowest goes first. Up to a term that all jobs share, it is the
   * remaining work minus the slot-time that the team has got since the job arrived. Newer jobs
   * overtake it only until that slot-time equals its own work, so no job starves.
   */
  get keyMs(): number {
    return this.teamServedMsAtArrival + this.waitingMs;
  }

  /** Expected slot-time of the waiting tasks, in milliseconds. */
  get remainingMs(): number {
    return this.waitingMs;
  }

  get isEmpty(): boolean {
    return this.tasksByOperation.size === 0;
  }

  /** Returns whether tasks of an operation wait. */
  has(operation: Operation): boolean {
    return this.tasksByOperation.has(operation);
  }

  push(queued: QueuedTask): void {
    const { operation } = queued.entry.task;
    const waiting = this.tasksByOperation.get(operation) ?? { tasks: [], head: 0 };
    waiting.tasks.push(queued);
    this.tasksByOperation.set(operation, waiting);
    this.waitingMs += queued.expectedMs;
  }

  /**
   * Takes the task with the longest expected slot-time among the operations that can run now.
   *
   * @param isRunnable - returns whether an operation can run
   * @returns the task, or undefined if none can run
   */
  takeNext(isRunnable: IsRunnable): QueuedTask | undefined {
    let longest: QueuedTask | undefined;
    for (const [operation, waiting] of this.tasksByOperation) {
      const queued = waiting.tasks[waiting.head];
      const isLonger = queued !== undefined && queued.expectedMs > (longest?.expectedMs ?? -1);
      if (isLonger && isRunnable(operation)) {
        longest = queued;
      }
    }
    if (longest !== undefined) {
      this.removeHead(longest);
    }
    return longest;
  }

  /** Returns every waiting task. */
  list(): QueuedTask[] {
    return [...this.tasksByOperation.values()].flatMap((waiting) =>
      waiting.tasks.slice(waiting.head),
    );
  }

  /** Removes a task that is the first of its operation. */
  private removeHead(queued: QueuedTask): void {
    const { operation } = queued.entry.task;
    const waiting = this.tasksByOperation.get(operation);
    if (waiting === undefined) {
      return;
    }
    waiting.head += 1;
    this.waitingMs -= queued.expectedMs;
    if (waiting.head === waiting.tasks.length) {
      this.tasksByOperation.delete(operation);
    }
  }
}
