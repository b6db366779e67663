/**
 * A keyed topic of the platform's store: records with offsets, the newest record of each key.
 */
import { createDeferred } from '../../src/utils/deferred.js';
import type { Deferred } from '../../src/utils/deferred.js';

const lengthBytes = 4;

export interface NewestItem {
  readonly key: string;
  /** Base64. */
  readonly value: string;
  readonly offset: number;
}

export class KeyedLog {
  private readonly records: Buffer[] = [];
  private readonly newest = new Map<string, NewestItem>();
  private firstOffset = 0;
  private appended: Deferred<void> = createDeferred();

  private constructor() {
    // Built by create.
  }

  static create(): KeyedLog {
    return new KeyedLog();
  }

  get end(): number {
    return this.firstOffset + this.records.length;
  }

  /**
   * Appends a record.
   *
   * @param key - its key
   * @param value - its value; empty drops the key
   */
  append(key: string, value: Buffer): void {
    const keyBytes = Buffer.from(key);
    const content = Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, value]);
    const length = Buffer.alloc(lengthBytes);
    length.writeUInt32BE(content.length);
    const offset = this.end;
    this.records.push(Buffer.concat([length, content]));
    if (value.length === 0) {
      this.newest.delete(key);
    } else {
      this.newest.set(key, { key, value: value.toString('base64'), offset });
    }
    this.appended.resolve();
    this.appended = createDeferred();
  }

  /** Forgets all records; the newest of each key are kept. */
  compact(): void {
    this.firstOffset = this.end;
    this.records.length = 0;
  }

  items(): NewestItem[] {
    return [...this.newest.values()];
  }

  /**
   * Reads records, after a wait for the first.
   *
   * @returns the body of the answer, or nothing if the records are gone
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
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(this.end), 0);
    head.writeBigUInt64BE(BigInt(this.firstOffset), 8);
    return Buffer.concat([head, ...this.records.slice(from - this.firstOffset)]);
  }
}
