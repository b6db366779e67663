/**
 * The first record of every key on the stream of claims, as far as this daemon has read it.
 */
import type { Clock } from '../ports/clock.js';
import { createDeferred } from '../utils/deferred.js';
import type { Deferred } from '../utils/deferred.js';
import type { ClaimRecord } from './types.js';

export interface ClaimIndexOptions {
  readonly clock: Clock;
  /** Time for which a caller may submit a job again, in milliseconds. */
  readonly windowMs: () => number;
}

interface IndexedClaim {
  readonly record: ClaimRecord;
  readonly offset: number;
  readonly readAtMs: number;
}

/** From where on the stream was read without a gap. */
type Coverage =
  | { readonly kind: 'unread' }
  | { readonly kind: 'whole' }
  | { readonly kind: 'since'; readonly atMs: number };

export class ClaimIndex {
  private readonly first = new Map<string, IndexedClaim>();
  private readonly waiting = new Map<string, Set<Deferred<ClaimRecord>>>();
  private coverage: Coverage = { kind: 'unread' };

  private constructor(private readonly options: ClaimIndexOptions) {}

  static create(options: ClaimIndexOptions): ClaimIndex {
    return new ClaimIndex(options);
  }

  /** @returns the number of keys */
  get size(): number {
    return this.first.size;
  }

  /** @returns whether the stream has been read up to its end at least once */
  get isRead(): boolean {
    return this.coverage.kind !== 'unread';
  }

  /** @returns whether every record of the resubmission window has been read */
  get isComplete(): boolean {
    const { clock, windowMs } = this.options;
    switch (this.coverage.kind) {
      case 'unread':
        return false;
      case 'whole':
        return true;
      case 'since':
        return clock.nowMs() - this.coverage.atMs >= windowMs();
    }
  }

  find(callerId: string, key: string): ClaimRecord | undefined {
    return this.first.get(identify(callerId, key))?.record;
  }

  /**
   * Waits for the first record of a key.
   *
   * @param callerId - the caller
   * @param key - the plain key
   * @param signal - ends the wait; the promise then stays open
   */
  waitFor(callerId: string, key: string, signal: AbortSignal): Promise<ClaimRecord> {
    const known = this.find(callerId, key);
    if (known !== undefined) {
      return Promise.resolve(known);
    }
    const identity = identify(callerId, key);
    const deferred = createDeferred<ClaimRecord>();
    const waiters = this.waiting.get(identity) ?? new Set();
    this.waiting.set(identity, waiters.add(deferred));
    signal.addEventListener('abort', () => this.endWait(identity, deferred), { once: true });
    return deferred.promise;
  }

  /** Adds a record, in log order; only the first of a key counts. */
  add(offset: number, record: ClaimRecord): void {
    const identity = identify(record.callerId, record.key);
    if (this.first.has(identity)) {
      return;
    }
    this.first.set(identity, { record, offset, readAtMs: this.options.clock.nowMs() });
    this.waiting.get(identity)?.forEach((waiter) => waiter.resolve(record));
    this.waiting.delete(identity);
  }

  /** Notes that the stream was read up to its end. */
  noteEnd(): void {
    if (this.coverage.kind === 'unread') {
      this.coverage = { kind: 'whole' };
    }
  }

  /** Notes that records were dropped from the log before they were read. */
  noteGap(): void {
    this.coverage = { kind: 'since', atMs: this.options.clock.nowMs() };
  }

  /**
   * Forgets keys that the log has dropped and whose window is over.
   *
   * @param oldestOffset - the oldest record that the log keeps
   */
  prune(oldestOffset: number): void {
    const droppedBeforeMs = this.options.clock.nowMs() - this.options.windowMs();
    for (const [identity, { offset, readAtMs }] of this.first) {
      if (offset >= oldestOffset || readAtMs > droppedBeforeMs) {
        return;
      }
      this.first.delete(identity);
    }
  }

  private endWait(identity: string, deferred: Deferred<ClaimRecord>): void {
    const waiters = this.waiting.get(identity);
    waiters?.delete(deferred);
    if (waiters?.size === 0) {
      this.waiting.delete(identity);
    }
  }
}

/** Names cannot hold a space, so the identity is unambiguous. */
const identify = (callerId: string, key: string): string => `${callerId} ${key}`;
