/**
 * Index of the first record of every key on the stream of claims, as far as this daemon has read
 * it.
 */
import type { Clock } from '../ports/clock.js';
import { createDeferred } from '../utils/deferred.js';
import type { Deferred } from '../utils/deferred.js';
import type { ClaimRecord } from './types.js';

export interface ClaimIndexOptions {
  readonly clock: Clock;
  /** Returns the resubmission window: how long a caller may submit a job again, in milliseconds. */
  readonly windowMs: () => number;
}

/** The first record of a key with its place on the stream. */
interface IndexedClaim {
  readonly record: ClaimRecord;
  readonly offset: number;
  /** Monotonic time at which it was read. */
  readonly readAtMs: number;
}

/** How much of the stream has been read. */
type Coverage =
  /** Neither has the end been reached nor a gap been found. */
  | { readonly kind: 'unread' }
  /** Every record up to the end was read, and later ones are read as they come. */
  | { readonly kind: 'complete' }
  /** A gap was found at this monotonic time; records from before it may be missing. */
  | { readonly kind: 'since-gap'; readonly atMs: number };

export class ClaimIndex {
  /** The first record of each key, in log order. */
  private readonly firstClaims = new Map<string, IndexedClaim>();
  /** The waits for the first record of each key, by caller and key. */
  private readonly waiting = new Map<string, Set<Deferred<ClaimRecord>>>();
  private coverage: Coverage = { kind: 'unread' };

  private constructor(private readonly options: ClaimIndexOptions) {}

  static create(options: ClaimIndexOptions): ClaimIndex {
    return new ClaimIndex(options);
  }

  /** Number of keys. */
  get size(): number {
    return this.firstClaims.size;
  }

  /** Whether the coverage is known: the end has been reached once, or a gap was found. */
  get hasCoverage(): boolean {
    return this.coverage.kind !== 'unread';
  }

  /**
   * Whether every record of the resubmission window has been read. After a gap that is so once the
   * window has passed.
   */
  get isComplete(): boolean {
    const { clock, windowMs } = this.options;
    switch (this.coverage.kind) {
      case 'unread':
        return false;
      case 'complete':
        return true;
      case 'since-gap':
        return clock.nowMs() - this.coverage.atMs >= windowMs();
    }
  }

  /** @returns the first record of a key; undefined where none has been read */
  find(callerId: string, key: string): ClaimRecord | undefined {
    return this.firstClaims.get(toIdentity(callerId, key))?.record;
  }

  /**
   * Waits until the first record of a key has been read.
   *
   * @param callerId - the caller
   * @param key - the plain key
   * @param signal - ends the wait; the promise then never settles
   */
  waitFor(callerId: string, key: string, signal: AbortSignal): Promise<ClaimRecord> {
    const known = this.find(callerId, key);
    if (known !== undefined) {
      return Promise.resolve(known);
    }
    const identity = toIdentity(callerId, key);
    const deferred = createDeferred<ClaimRecord>();
    const waiters = this.waiting.get(identity) ?? new Set();
    this.waiting.set(identity, waiters.add(deferred));
    signal.addEventListener('abort', () => this.removeWaiter(identity, deferred), { once: true });
    return deferred.promise;
  }

  /** Adds a record, if it is the first of its key. Records have to come in log order. */
  add(offset: number, record: ClaimRecord): void {
    const identity = toIdentity(record.callerId, record.key);
    if (this.firstClaims.has(identity)) {
      return;
    }
    this.firstClaims.set(identity, { record, offset, readAtMs: this.options.clock.nowMs() });
    this.waiting.get(identity)?.forEach((waiter) => waiter.resolve(record));
    this.waiting.delete(identity);
  }

  /** Records that the stream has been read up to its end. */
  recordEndReached(): void {
    if (this.coverage.kind === 'unread') {
      this.coverage = { kind: 'complete' };
    }
  }

  /** Records that the log dropped records before they were read. */
  recordGap(): void {
    this.coverage = { kind: 'since-gap', atMs: this.options.clock.nowMs() };
  }

  /**
   * Removes keys whose record the log has dropped and whose resubmission window has passed.
   *
   * @param oldestOffset - offset of the oldest record that the log still has
   */
  prune(oldestOffset: number): void {
    const windowStartMs = this.options.clock.nowMs() - this.options.windowMs();
    for (const [identity, { offset, readAtMs }] of this.firstClaims) {
      if (offset >= oldestOffset || readAtMs > windowStartMs) {
        return;
      }
      this.firstClaims.delete(identity);
    }
  }

  private removeWaiter(identity: string, deferred: Deferred<ClaimRecord>): void {
    const waiters = this.waiting.get(identity);
    waiters?.delete(deferred);
    if (waiters?.size === 0) {
      this.waiting.delete(identity);
    }
  }
}

/** Caller ids and keys cannot contain a space, so the identity is unambiguous. */
const toIdentity = (callerId: string, key: string): string => `${callerId} ${key}`;
