/**
 * The tasks that wait for room, those first that must start soonest.
 */
import type { BatchedTask, OpenBatch } from './openBatch.js';

interface WaitingEntry {
  readonly task: BatchedTask;
  readonly startByMs: number;
}

export class WaitingTasks {
  private entries: WaitingEntry[] = [];

  private constructor() {
    // Built by create.
  }

  static create(): WaitingTasks {
    return new WaitingTasks();
  }

  get size(): number {
    return this.entries.length;
  }

  /**
   * Adds a task.
   *
   * @param task - the task
   * @param startByMs - when it should have started, on this process's monotonic clock
   */
  push(task: BatchedTask, startByMs: number): void {
    const next = this.entries.findIndex((entry) => entry.startByMs > startByMs);
    const position = next < 0 ? this.entries.length : next;
    this.entries.splice(position, 0, { task, startByMs });
  }

  /** @returns the tasks in their order */
  list(): BatchedTask[] {
    return this.entries.map(({ task }) => task);
  }

  remove(task: BatchedTask): void {
    const position = this.entries.findIndex((entry) => entry.task === task);
    if (position >= 0) {
      this.entries.splice(position, 1);
    }
  }

  /** Takes out the tasks of a batch. */
  removeBatch(batch: OpenBatch): void {
    this.entries = this.entries.filter(({ task }) => task.batch !== batch);
  }
}
