/**
 * Collects the chunks of a body in one buffer. Node.js hands each chunk over in a buffer of its own, which takes a hundred
 * times the bytes of a chunk of one byte, so that chunks must not be kept.
 */

/** Smallest size of the buffer, in bytes. */
const minCapacityBytes = 512;

export class BodyBuffer {
  private buffer = Buffer.alloc(0);
  private lengthBytes = 0;

  private constructor(private readonly maxBytes: number) {}

  /**
   * @param maxBytes - largest size of the body, in bytes
   */
  static create(maxBytes: number): BodyBuffer {
    return new BodyBuffer(maxBytes);
  }

  /** Size of the body so far, in bytes. */
  get length(): number {
    return this.lengthBytes;
  }

  /** Memory that the buffer takes, in bytes. */
  get capacity(): number {
    return this.buffer.length;
  }

  /** Copies a chunk; the body must not become larger than its maximum. */
  append(chunk: Buffer): void {
    const neededBytes = this.lengthBytes + chunk.length;
    if (neededBytes > this.buffer.length) {
      this.grow(neededBytes);
    }
    chunk.copy(this.buffer, this.lengthBytes);
    this.lengthBytes = neededBytes;
  }

  /** Decodes the body as UTF-8. */
  toText(): string {
    return this.buffer.toString('utf8', 0, this.lengthBytes);
  }

  /** Releases the memory of a body that is not needed any more. */
  clear(): void {
    this.buffer = Buffer.alloc(0);
    this.lengthBytes = 0;
  }

  private grow(neededBytes: number): void {
    const doubledBytes = Math.max(this.buffer.length * 2, minCapacityBytes);
    const capacity = Math.max(Math.min(doubledBytes, this.maxBytes), neededBytes);
    // Not from the pool of Node.js, of which a small part would keep the whole.
    const grown = Buffer.allocUnsafeSlow(capacity);
    this.buffer.copy(grown, 0, 0, this.lengthBytes);
    this.buffer = grown;
  }
}
