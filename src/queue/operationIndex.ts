/**
 * Orders items that wait for slots of one or more operations by one key. Each operation has its own
 * heap, so that operations which cannot run now are skipped without visiting their items.
 */
import type { Operation } from '../types/inventory.js';
import { KeyedHeap } from './keyedHeap.js';
import type { HeapNode } from './keyedHeap.js';
import type { IsRunnable } from './types.js';

export class OperationIndex<T> {
  private readonly heaps = new Map<Operation, KeyedHeap<T>>();
  private readonly nodes = new Map<T, Map<Operation, HeapNode<T>>>();

  private constructor() {
    // Built by create.
  }

  static create<T>(): OperationIndex<T> {
    return new OperationIndex<T>();
  }

  /**
   * Adds an item to the heap of an operation, unless it is there.
   *
   * @param item - the item
   * @param operation - the operation that the item waits for
   * @param keyMs - the item's key in milliseconds
   */
  add(item: T, operation: Operation, keyMs: number): void {
    const nodes = this.nodes.get(item) ?? new Map<Operation, HeapNode<T>>();
    if (nodes.has(operation)) {
      return;
    }
    const heap = this.heaps.get(operation) ?? KeyedHeap.create<T>();
    this.heaps.set(operation, heap);
    nodes.set(operation, heap.push(item, keyMs));
    this.nodes.set(item, nodes);
  }

  /** Removes an item from the heap of an operation, if it is there. */
  delete(item: T, operation: Operation): void {
    const nodes = this.nodes.get(item);
    const node = nodes?.get(operation);
    const heap = this.heaps.get(operation);
    if (nodes === undefined || node === undefined || heap === undefined) {
      return;
    }
    heap.remove(node);
    nodes.delete(operation);
    if (heap.size === 0) {
      this.heaps.delete(operation);
    }
    if (nodes.size === 0) {
      this.nodes.delete(item);
    }
  }

  /** Removes an item from every heap. */
  deleteAll(item: T): void {
    for (const operation of [...(this.nodes.get(item)?.keys() ?? [])]) {
      this.delete(item, operation);
    }
  }

  /** Changes the key of an item in every heap that contains it. */
  updateKey(item: T, keyMs: number): void {
    for (const [operation, node] of this.nodes.get(item) ?? []) {
      this.heaps.get(operation)?.update(node, keyMs);
    }
  }

  /**
   * Finds the item with the least key that waits for an operation which can run now.
   *
   * @param isRunnable - called at most once for each operation that an item waits for
   * @returns the item, or undefined if no operation can run
   */
  findFirst(isRunnable: IsRunnable): T | undefined {
    let best: HeapNode<T> | undefined;
    for (const [operation, heap] of this.heaps) {
      const node = heap.peek();
      const isBetter = node !== undefined && (best === undefined || node.keyMs < best.keyMs);
      if (isBetter && isRunnable(operation)) {
        best = node;
      }
    }
    return best?.item;
  }
}
