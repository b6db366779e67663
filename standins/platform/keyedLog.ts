/**
 * A compacted topic of the platform's store: records with offsets, and the newest record of each key.
 */
import { createDeferred } from '../../src/utils/deferred.js';
import type { Deferred } from '../../src/utils/deferred.js';

/** Size of the length prefix of each record, in bytes. */
const lengthPrefixBytes = 4;

/** The newest record of a key, as the store's answers have it. */
export interface NewestItem {
  readonly key: string;
  /** Base64. */
  readonly value: string;
  readonly offset: number;
}

export class KeyedLog {
  /** Records since the last compaction, each with its length prefix. */
  private readonly records: Buffer[] = [];
  private readonly newestByKey = new Map<string, NewestItem>();
  /** Offset of the first of `records`. */
  private firstOffset = 0;
  /** Resolved at the next append, then replaced. */
  private appended: Deferred<void> = createDeferred();

  private constructor() {
    // Built by create.
  }

  static create(): KeyedLog {
    return new KeyedLog();
  }

  /** @returns the offset of the next record */
  get end(): number {
    return this.firstOffset + this.records.length;
  }

  /**
   * Appends a record.
   *
   * @param key - at most 255 bytes
   * @param value - an empty value deletes the key
   */
  append(key: string, value: Buffer): void {
    const keyBytes = Buffer.from(key);
    const content = Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, value]);
    const length = Buffer.alloc(lengthPrefixBytes);
    length.writeUInt32BE(content.length);
    const offset = this.end;
    this.records.push(Buffer.concat([length, content]));
    if (value.length === 0) {
      this.newestByKey.delete(key);
    } else {
      this.newestByKey.set(key, { key, value: value.toString('base64'), offset });
    }
    this.appended.resolve();
    this.appended = createDeferred();
  }

  /** Discards all records but the newest of each key, which only `items` then returns. */
  compact(): void {
    this.firstOffset = this.end;
    this.records.length = 0;
  }

  /** @returns the newest record of each key that is not deleted */
  items(): NewestItem[] {
    return [...this.newestByKey.values()];
  }

  /**
   * Reads all records from an offset on. Where there is none yet, waits for the next append.
   *
   * @param from - offset of the first record
   * @param waitMs - longest wait; 0 answers at once
   * @returns the body of the answer: end offset and first retained offset (8 bytes each), then the
   *   records with their length prefixes; undefined if `from` was compacted away
   */
  async read(from: number, waitMs: number): Promise<Buffer | undefined> {
    if (from >= this.end && waitMs > 0) {
      const timer = new AbortController();
      const timeUp = new Promise<void>((resolve) => {
        const timeout = setTimeout(resolve, waitMs);
        timer.signal.addEventListener('abort', () => clearTimeout(timeout));
      });
      await Promise.race([this.appended.promise, timeUp]);
      timer.abort();
    }
    if (from < this.firstOffset) {
      return undefined;
    }
    const header = Buffer.alloc(16);
    header.writeBigUInt64BE(BigInt(this.end), 0);
    header.writeBigUInt64BE(BigInt(this.firstOffset), 8);
    return Buffer.concat([header, ...this.records.slice(from - this.firstOffset)]);
  }
}
