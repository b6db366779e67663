/**
 * An ordered collection whose operations take nearly constant time: the items are held in sorted blocks of bounded
 * length. Items may be added and removed while it is walked with `after`.
 */

/** A block of this length is divided in two. */
const maxBlockLength = 256;

export class SortedBlocks<T> {
  private readonly blocks: T[][] = [];
  private itemCount = 0;

  private constructor(private readonly compare: (a: T, b: T) => number) {}

  /**
   * @param compare - a total order: 0 only for the same item
   */
  static create<T>(compare: (a: T, b: T) => number): SortedBlocks<T> {
    return new SortedBlocks(compare);
  }

  get size(): number {
    return this.itemCount;
  }

  /** @returns the first item, if there is any */
  first(): T | undefined {
    return this.blocks[0]?.[0];
  }

  /** @returns the first item behind a position, whether or not an item is at that position */
  after(position: T): T | undefined {
    const blockIndex = this.findBlock(position);
    const block = this.blocks[blockIndex];
    if (block === undefined) {
      return undefined;
    }
    const index = this.findIndex(block, position);
    const item = block[index];
    const next = item !== undefined && this.compare(item, position) === 0 ? index + 1 : index;
    return block[next] ?? this.blocks[blockIndex + 1]?.[0];
  }

  add(item: T): void {
    this.itemCount += 1;
    const blockIndex = Math.min(this.findBlock(item), this.blocks.length - 1);
    const block = this.blocks[blockIndex];
    if (block === undefined) {
      this.blocks.push([item]);
      return;
    }
    block.splice(this.findIndex(block, item), 0, item);
    if (block.length > maxBlockLength) {
      this.blocks.splice(blockIndex + 1, 0, block.splice(maxBlockLength / 2));
    }
  }

  /** Removes an item; one that is not in the collection is ignored. */
  delete(item: T): void {
    const blockIndex = this.findBlock(item);
    const block = this.blocks[blockIndex];
    const index = block === undefined ? 0 : this.findIndex(block, item);
    const found = block?.[index];
    if (block === undefined || found === undefined || this.compare(found, item) !== 0) {
      return;
    }
    this.itemCount -= 1;
    block.splice(index, 1);
    if (block.length === 0) {
      this.blocks.splice(blockIndex, 1);
    }
  }

  /** @returns the items in order */
  list(): T[] {
    return this.blocks.flat();
  }

  /** Index of the first block whose last item is not before a position. */
  private findBlock(position: T): number {
    return findFirst(this.blocks.length, (index) => {
      const last = this.blocks[index]?.at(-1);
      return last !== undefined && this.compare(last, position) >= 0;
    });
  }

  private findIndex(block: readonly T[], position: T): number {
    return findFirst(block.length, (index) => {
      const item = block[index];
      return item !== undefined && this.compare(item, position) >= 0;
    });
  }
}

/** Returns the first index at which a condition holds that holds for all later ones, or the length. */
const findFirst = (length: number, holdsAt: (index: number) => boolean): number => {
  let low = 0;
  let high = length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if (holdsAt(middle)) {
      high = middle;
    } else {
      low = middle + 1;
    }
  }
  return low;
};
