/**
 * The tasks that wait for free capacity, ordered by the time by which they should start.
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
   * Inserts a task behind those that should start earlier or at the same time.
   *
   * @param task - the task
   * @param startByMs - latest start that meets its objective with a margin, in monotonic time
   */
  push(task: BatchedTask, startByMs: number): void {
    const next = this.entries.findIndex((entry) => entry.startByMs > startByMs);
    const position = next < 0 ? this.entries.length : next;
    this.entries.splice(position, 0, { task, startByMs });
  }

  /** @returns the tasks, in the order in which they should start */
  list(): BatchedTask[] {
    return this.entries.map(({ task }) => task);
  }

  remove(task: BatchedTask): void {
    const position = this.entries.findIndex((entry) => entry.task === task);
    if (position >= 0) {
      this.entries.splice(position, 1);
    }
  }

  /** Removes all tasks of a batch. */
  removeBatch(batch: OpenBatch): void {
    this.entries = this.entries.filter(({ task }) => task.batch !== batch);
  }
}
