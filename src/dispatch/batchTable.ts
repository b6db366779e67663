/**
 * The batches that other parts of the fleet have requested from this daemon: the open ones, those that
 * have ended a short while ago, and the ids of those that were withdrawn before they arrived.
 */
import { RecentNames } from '../utils/recentNames.js';
import type { OpenBatch } from './openBatch.js';

/** Ended batches are kept for this long after their arrival at least, to answer repeated requests. */
const minRetentionMs = 10_000;
/** A requester that gives a batch up may still have a request for it under way for this long. */
const lateRequestMs = 1_000;
/** Withdrawals of batches that have not arrived that are remembered. */
const maxEarlyWithdrawals = 2_048;

export class BatchTable {
  /** In the order of arrival, by id. */
  private readonly batches = new Map<string, OpenBatch>();
  private readonly open = new Set<OpenBatch>();
  private readonly withdrawnEarly = RecentNames.create(maxEarlyWithdrawals);

  private constructor() {
    // Built by create.
  }

  static create(): BatchTable {
    return new BatchTable();
  }

  get(batchId: string): OpenBatch | undefined {
    return this.batches.get(batchId);
  }

  /** Adds a batch that has just arrived, and removes those that ended long ago. */
  add(batch: OpenBatch): void {
    this.evictEnded(batch.arrivedAtMs);
    this.batches.set(batch.batchId, batch);
    this.open.add(batch);
    void batch.completion.then(() => this.open.delete(batch));
  }

  /** @returns the batches of a requester that have not ended */
  openBatchesOf(requester: string): OpenBatch[] {
    return [...this.open].filter(({ askedBy, hasEnded }) => askedBy === requester && !hasEnded);
  }

  /** Whether a requester has batches that have not ended. */
  hasOpenBatchesOf(requester: string): boolean {
    for (const { askedBy, hasEnded } of this.open) {
      if (askedBy === requester && !hasEnded) {
        return true;
      }
    }
    return false;
  }

  /** @returns incarnations of the requesters whose batches have not ended */
  requesters(): string[] {
    return [...new Set([...this.open].map(({ askedBy }) => askedBy))];
  }

  /** Remembers the withdrawal of a batch that has not arrived. */
  recordEarlyWithdrawal(batchId: string): void {
    this.withdrawnEarly.add(batchId);
  }

  /** Whether a batch was withdrawn before it arrived. */
  wasWithdrawnEarly(batchId: string): boolean {
    return this.withdrawnEarly.has(batchId);
  }

  /** Removes the oldest batches, up to the first that has not ended or is still retained. */
  private evictEnded(nowMs: number): void {
    for (const batch of this.batches.values()) {
      if (!batch.hasEnded || nowMs < retainedUntilMs(batch)) {
        return;
      }
      this.batches.delete(batch.batchId);
    }
  }
}

/** Time up to which its requester may ask for an ended batch again, in monotonic milliseconds. */
const retainedUntilMs = ({ arrivedAtMs, giveUpAtMs }: OpenBatch): number =>
  Math.max(arrivedAtMs + minRetentionMs, giveUpAtMs + lateRequestMs);
