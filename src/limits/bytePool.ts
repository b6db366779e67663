/**
 * Counts the bytes of several holders against a limit, and evicts the holders that were added first. A single holder is never
 * evicted, whatever it takes.
 */

/** What one holder takes. */
export interface PoolShare {
  bytes: number;
  readonly onEvict: () => void;
}

export class BytePool {
  /** In the order in which they were added. */
  private readonly shares = new Set<PoolShare>();
  private heldBytes = 0;

  private constructor(private readonly maxBytes: number) {}

  static create(maxBytes: number): BytePool {
    return new BytePool(maxBytes);
  }

  /** Bytes that are held now. */
  get bytes(): number {
    return this.heldBytes;
  }

  /**
   * Whether a new holder fits into a part of the pool.
   *
   * @param bytes - what it takes
   * @param part - part of the limit that may be held with it
   */
  hasRoom(bytes: number, part = 1): boolean {
    return this.shares.size === 0 || this.heldBytes + bytes <= this.maxBytes * part;
  }

  /**
   * Adds a holder, whether or not there is room for it.
   *
   * @param onEvict - called after the holder was evicted
   */
  add(bytes: number, onEvict: () => void): PoolShare {
    const share = { bytes, onEvict };
    this.shares.add(share);
    this.heldBytes += bytes;
    return share;
  }

  /** Changes what a holder takes; without effect on one that was removed. */
  resize(share: PoolShare, bytes: number): void {
    if (this.shares.has(share)) {
      this.heldBytes += bytes - share.bytes;
      share.bytes = bytes;
    }
  }

  remove(share: PoolShare): void {
    if (this.shares.delete(share)) {
      this.heldBytes -= share.bytes;
    }
  }

  /** Evicts holders until the others fit. */
  evictOldest(): void {
    for (const share of this.shares) {
      if (this.heldBytes <= this.maxBytes || this.shares.size === 1) {
        return;
      }
      this.remove(share);
      share.onEvict();
    }
  }
}
