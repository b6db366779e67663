/**
 * The waiting tasks of one job: the longest expected task goes first.
 */
import type { Operation } from '../types/inventory.js';
import type { IsRunnable, QueuedTask } from './types.js';

/** The waiting tasks of one operation, in the order of their arrival. */
interface TaskLane {
  readonly tasks: QueuedTask[];
  /** Index of the first task that still waits. */
  head: number;
}

export class WaitingJob {
  private readonly lanes = new Map<Operation, TaskLane>();
  private waitingMs = 0;

  private constructor(
    readonly jobId: string,
    private readonly arrivedAtServiceMs: number,
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
    return this.arrivedAtServiceMs + this.waitingMs;
  }

  /** Expected slot-time of the tasks that wait. */
  get remainingMs(): number {
    return this.waitingMs;
  }

  get isEmpty(): boolean {
    return this.lanes.size === 0;
  }

  has(operation: Operation): boolean {
    return this.lanes.has(operation);
  }

  push(queued: QueuedTask): void {
    const { operation } = queued.entry.task;
    const lane = this.lanes.get(operation) ?? { tasks: [], head: 0 };
    lane.tasks.push(queued);
    this.lanes.set(operation, lane);
    this.waitingMs += queued.expectedMs;
  }

  /**
   * Takes the longest expected task whose operation can run now.
   *
   * @param isRunnable - tells which operations can run
   * @returns the task, or nothing
   */
  take(isRunnable: IsRunnable): QueuedTask | undefined {
    let longest: QueuedTask | undefined;
    for (const [operation, lane] of this.lanes) {
      const queued = lane.tasks[lane.head];
      const isLonger = queued !== undefined && queued.expectedMs > (longest?.expectedMs ?? -1);
      if (isLonger && isRunnable(operation)) {
        longest = queued;
      }
    }
    if (longest !== undefined) {
      this.dropHead(longest);
    }
    return longest;
  }

  /** @returns every task that waits */
  list(): QueuedTask[] {
    return [...this.lanes.values()].flatMap((lane) => lane.tasks.slice(lane.head));
  }

  private dropHead(queued: QueuedTask): void {
    const { operation } = queued.entry.task;
    const lane = this.lanes.get(operation);
    if (lane === undefined) {
      return;
    }
    lane.head += 1;
    this.waitingMs -= queued.expectedMs;
    if (lane.head === lane.tasks.length) {
      this.lanes.delete(operation);
    }
  }
}
