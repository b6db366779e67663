/**
 * Keeps one worker free for one task, so that the task runs there alone.
 */
import type { BatchedTask } from './openBatch.js';

export class WorkerReservation {
  private reservedTask: BatchedTask | undefined;

  private constructor() {
    // Built by create.
  }

  static create(): WorkerReservation {
    return new WorkerReservation();
  }

  /** Task that the worker is kept free for; none once that task has ended. */
  get task(): BatchedTask | undefined {
    return this.reservedTask?.hasEnded === true ? undefined : this.reservedTask;
  }

  /** Keeps the worker free for a task, until the task has ended or gives the worker up. */
  reserve(task: BatchedTask): void {
    this.reservedTask = task;
  }

  /** Ends the reservation. */
  cancel(): void {
    this.reservedTask = undefined;
  }
}
