/**
 * A binary min-heap whose entries can be moved to another key, or removed, in logarithmic time.
 */

/** An entry of the heap; only the heap changes `keyMs` and `position`. */
export interface HeapNode<T> {
  readonly item: T;
  /** Number of the push; breaks ties between equal keys, first in, first out. */
  readonly sequence: number;
  keyMs: number;
  /** Index in the array of the heap. */
  position: number;
}

export class KeyedHeap<T> {
  private readonly nodes: HeapNode<T>[] = [];
  private pushCount = 0;

  private constructor() {
    // Built by create.
  }

  static create<T>(): KeyedHeap<T> {
    return new KeyedHeap<T>();
  }

  get size(): number {
    return this.nodes.length;
  }

  /** Returns the entry with the least key, or undefined if the heap is empty. */
  peek(): HeapNode<T> | undefined {
    return this.nodes[0];
  }

  /**
   * Adds an item.
   *
   * @param item - the item
   * @param keyMs - its key in milliseconds
   * @returns the entry, for `update` and `remove`
   */
  push(item: T, keyMs: number): HeapNode<T> {
    this.pushCount += 1;
    const node = { item, keyMs, sequence: this.pushCount, position: this.nodes.length };
    this.nodes.push(node);
    this.siftUp(node);
    return node;
  }

  /**
   * Changes the key of an entry.
   *
   * @param node - the entry
   * @param keyMs - the new key in milliseconds
   */
  update(node: HeapNode<T>, keyMs: number): void {
    node.keyMs = keyMs;
    this.siftUp(node);
    this.siftDown(node);
  }

  /** Removes an entry that is in the heap. */
  remove(node: HeapNode<T>): void {
    const last = this.nodes.pop();
    if (last === undefined || last === node) {
      return;
    }
    this.setPosition(last, node.position);
    this.siftUp(last);
    this.siftDown(last);
  }

  /** Restores the heap order from an entry towards the root. */
  private siftUp(node: HeapNode<T>): void {
    while (node.position > 0) {
      const parent = this.nodes[(node.position - 1) >> 1];
      if (parent === undefined || !precedes(node, parent)) {
        return;
      }
      this.swap(node, parent);
    }
  }

  /** Restores the heap order from an entry towards the leaves. */
  private siftDown(node: HeapNode<T>): void {
    for (
      let child = this.smallerChild(node);
      child !== undefined;
      child = this.smallerChild(node)
    ) {
      if (!precedes(child, node)) {
        return;
      }
      this.swap(child, node);
    }
  }

  private smallerChild(node: HeapNode<T>): HeapNode<T> | undefined {
    const left = this.nodes[2 * node.position + 1];
    const right = this.nodes[2 * node.position + 2];
    return left !== undefined && right !== undefined && precedes(right, left) ? right : left;
  }

  private swap(a: HeapNode<T>, b: HeapNode<T>): void {
    const position = a.position;
    this.setPosition(a, b.position);
    this.setPosition(b, position);
  }

  private setPosition(node: HeapNode<T>, position: number): void {
    this.nodes[position] = node;
    node.position = position;
  }
}

const precedes = <T>(a: HeapNode<T>, b: HeapNode<T>): boolean =>
  a.keyMs < b.keyMs || (a.keyMs === b.keyMs && a.sequence < b.sequence);
