/**
 * Counts the waiting tasks of each operation, and estimates their slot-time from the counts.
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

  /** Number of tasks, of all operations. */
  get total(): number {
    return this.taskCount;
  }

  /** The operations with at least one task. */
  get operations(): IterableIterator<Operation> {
    return this.counts.keys();
  }

  /** Returns whether an operation has a task. */
  has(operation: Operation): boolean {
    return this.counts.has(operation);
  }

  /**
   * Adds to the count of an operation.
   *
   * @param operation - the operation of the tasks
   * @param change - number of tasks that were added; negative for removed ones
   */
  add(operation: Operation, change: number): void {
    this.taskCount += change;
    const newCount = (this.counts.get(operation) ?? 0) + change;
    if (newCount === 0) {
      this.counts.delete(operation);
    } else {
      this.counts.set(operation, newCount);
    }
  }

  /**
   * Estimates the slot-time that the tasks take. The cost grows with the number of operations, not
   * with the number of tasks.
   *
   * @param expectedMs - returns the expected slot-time of one task of an operation, in milliseconds
   * @param operationId - restricts the sum to this operation
   * @returns the sum, in milliseconds
   */
  estimateSlotTimeMs(expectedMs: (operation: Operation) => number, operationId?: string): number {
    let sumMs = 0;
    for (const [operation, count] of this.counts) {
      if (operationId === undefined || operation.operationId === operationId) {
        sumMs += count * expectedMs(operation);
      }
    }
    return sumMs;
  }
}
