/**
 * The waiting tasks of one daemon: paying work before trial work.
 */
import type { CallerClass, Operation } from '../inventory/types.js';
import type { TaskOutcome } from '../jobs/types.js';
import type { Deferred } from '../utils/deferred.js';
import type { Task } from './types.js';

/** A task that waits, with the promise of its outcome. */
export interface WaitingTask {
  readonly task: Task;
  readonly outcome: Deferred<TaskOutcome>;
  /** Attempts so far that certainly did not start. */
  attempts: number;
}

const classOrder: readonly CallerClass[] = ['paying', 'trial'];

export class TaskQueue {
  private readonly waiting: Record<CallerClass, WaitingTask[]> = { paying: [], trial: [] };

  private constructor() {
    // Built by create.
  }

  static create(): TaskQueue {
    return new TaskQueue();
  }

  get size(): number {
    return this.waiting.paying.length + this.waiting.trial.length;
  }

  push(entry: WaitingTask): void {
    this.waiting[entry.task.callerClass].push(entry);
  }

  /**
   * Takes the next task whose operation can run now.
   *
   * @param canRun - tells whether a free slot fits the operation
   * @returns the task, or nothing
   */
  take(canRun: (operation: Operation) => boolean): WaitingTask | undefined {
    for (const callerClass of classOrder) {
      const list = this.waiting[callerClass];
      const index = list.findIndex((entry) => canRun(entry.task.operation));
      if (index >= 0) {
        return list.splice(index, 1)[0];
      }
    }
    return undefined;
  }

  /**
   * Notes that a task which was taken has left its slot.
   *
   * @param _entry - the task
   * @param _slotTimeMs - how long it held the slot, in milliseconds
   */
  ended(_entry: WaitingTask, _slotTimeMs: number): void {
    // Shares and caps are not counted yet.
  }

  /**
   * Takes out every waiting task of a job in one pass.
   *
   * @param jobId - the job
   * @returns the tasks taken out
   */
  withdraw(jobId: string): WaitingTask[] {
    const taken: WaitingTask[] = [];
    for (const callerClass of classOrder) {
      const list = this.waiting[callerClass];
      taken.push(...list.filter((entry) => entry.task.jobId === jobId));
      this.waiting[callerClass] = list.filter((entry) => entry.task.jobId !== jobId);
    }
    return taken;
  }
}
