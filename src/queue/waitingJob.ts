/**
 * The waiting tasks of one job: the longest expected task goes first.
 */
import type { Operation } from '../types/inventory.js';
import type { IsRunnable, QueuedTask } from './types.js';

/** The waiting tasks of one operation, in the order of their arrival. */
interface OperationTasks {
  readonly tasks: QueuedTask[];
  /** Index of the first task that still waits. */
  head: number;
}

export class WaitingJob {
  private readonly tasksByOperation = new Map<Operation, OperationTasks>();
  private waitingMs = 0;

  private constructor(
    readonly jobId: string,
    private readonly teamServedMsAtArrival: number,
  ) {}

  /**
   * @param jobId - the job
   * @param arrivedAtServiceMs - slot-time that the job's team had been given when the job came
   */
  static create(jobId: string, arrivedAtServiceMs: number): WaitingJob {
    return new WaitingJob(jobId, arrivedAtServiceMs);
  }

  /**
   * Rank of the job in its team: its remaining work, less what the team was given since the job
   * came. A newer job overtakes only until that much slot-time went by, so none waits for ever.
   */
  get keyMs(): number {
    return this.teamServedMsAtArrival + this.waitingMs;
  }

  /** Expected slot-time of the tasks that wait. */
  get remainingMs(): number {
    return this.waitingMs;
  }

  get isEmpty(): boolean {
    return this.tasksByOperation.size === 0;
  }

  has(operation: Operation): boolean {
    return this.tasksByOperation.has(operation);
  }

  push(queued: QueuedTask): void {
    const { operation } = queued.entry.task;
    const lane = this.tasksByOperation.get(operation) ?? { tasks: [], head: 0 };
    lane.tasks.push(queued);
    this.tasksByOperation.set(operation, lane);
    this.waitingMs += queued.expectedMs;
  }

  /**
   * Takes the longest expected task whose operation can run now.
   *
   * @param isRunnable - tells which operations can run
   * @returns the task, or nothing
   */
  takeNext(isRunnable: IsRunnable): QueuedTask | undefined {
    let longest: QueuedTask | undefined;
    for (const [operation, lane] of this.tasksByOperation) {
      const queued = lane.tasks[lane.head];
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

  /** @returns every task that waits */
  list(): QueuedTask[] {
    return [...this.tasksByOperation.values()].flatMap((lane) => lane.tasks.slice(lane.head));
  }

  private removeHead(queued: QueuedTask): void {
    const { operation } = queued.entry.task;
    const lane = this.tasksByOperation.get(operation);
    if (lane === undefined) {
      return;
    }
    lane.head += 1;
    this.waitingMs -= queued.expectedMs;
    if (lane.head === lane.tasks.length) {
      this.tasksByOperation.delete(operation);
    }
  }
}
