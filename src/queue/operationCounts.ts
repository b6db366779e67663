/**
 * How many tasks of each operation wait, from which the waiting slot-time follows.
 */
import type { Operation } from '../types/inventory.js';

export class OperationCounts {
  private readonly counts = new Map<Operation, number>();
  private taskCount = 0;

  private constructor() {
    // Built by create.
  }

  static create(): OperationCounts {
    return new OperationCounts();
  }

  /** Tasks of all operations. */
  get total(): number {
    return this.taskCount;
  }

  /** The operations that any task has. */
  get operations(): IterableIterator<Operation> {
    return this.counts.keys();
  }

  has(operation: Operation): boolean {
    return this.counts.has(operation);
  }

  /**
   * Counts tasks in or out.
   *
   * @param operation - the operation of the tasks
   * @param change - how many came, or, below 0, left
   */
  add(operation: Operation, change: number): void {
    this.taskCount += change;
    const left = (this.counts.get(operation) ?? 0) + change;
    if (left === 0) {
      this.counts.delete(operation);
    } else {
      this.counts.set(operation, left);
    }
  }

  /**
   * Sums up the slot-time that the tasks are expected to take.
   *
   * @param expectedMs - slot-time of one task of an operation
   * @param operationId - counts this operation only
   * @returns milliseconds
   */
  slotTimeMs(expectedMs: (operation: Operation) => number, operationId?: string): number {
    let sumMs = 0;
    for (const [operation, count] of this.counts) {
      if (operationId === undefined || operation.operationId === operationId) {
        sumMs += count * expectedMs(operation);
      }
    }
    return sumMs;
  }
}
