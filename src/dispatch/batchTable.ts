/**
 * The batches that other parts of the fleet have requested from this daemon: the open ones, those that
 * have ended a short while ago, and the ids of those that were withdrawn before they arrived.
 */
import type { Clock } from '../ports/clock.js';
import { RecentNames } from '../utils/recentNames.js';
import type { OpenBatch } from './openBatch.js';

/** Ended batches are kept at least this long after their end, to answer repeated requests. */
const batchRetentionMs = 10_000;
/**
 * They are kept for this many expected run times more: a requester that got no answer sends a batch again after
 * twice that time.
 */
const retainedRunTimes = 2;
/** Ended batches are looked through once in this time, since they are many. */
const evictionPeriodMs = 1_000;
/** Withdrawals of batches that have not arrived that are remembered. */
const maxEarlyWithdrawals = 2_048;

export class BatchTable {
  /** In the order of arrival, by id. */
  private readonly batches = new Map<string, OpenBatch>();
  private readonly open = new Set<OpenBatch>();
  /** When to remove each ended batch, in monotonic time, by id. */
  private readonly retainedUntilMs = new Map<string, number>();
  /** When the ended batches were last looked through, in monotonic time. */
  private evictedAtMs = -Infinity;
  private readonly withdrawnEarly = RecentNames.create(maxEarlyWithdrawals);

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): BatchTable {
    return new BatchTable(clock);
  }

  get(batchId: string): OpenBatch | undefined {
    return this.batches.get(batchId);
  }

  /** Adds a batch that has just arrived, and removes those that ended long ago. */
  add(batch: OpenBatch): void {
    this.evictEnded();
    this.batches.set(batch.batchId, batch);
    this.open.add(batch);
    void batch.completion.then(() => this.recordEnd(batch));
  }

  /** @returns the batches of a requester that have not ended */
  openBatchesOf(requester: string): OpenBatch[] {
    return [...this.open].filter(({ askedBy, hasEnded }) => askedBy === requester && !hasEnded);
  }

  /** Counts a suspension of the VM as time since the confirmation of each batch, in milliseconds. */
  recordSuspension(durationMs: number): void {
    this.batches.forEach((batch) => batch.recordSuspension(durationMs));
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

  /** @returns the open batches of a job */
  openBatchesOfJob(jobId: string): OpenBatch[] {
    return [...this.open].filter((batch) => batch.content.jobId === jobId && !batch.hasEnded);
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

  private recordEnd(batch: OpenBatch): void {
    this.open.delete(batch);
    const { batchId, content } = batch;
    const retentionMs = batchRetentionMs + content.estimatedMs * retainedRunTimes;
    this.retainedUntilMs.set(batchId, this.clock.nowMs() + retentionMs);
  }

  /** Removes the ended batches that are no longer retained, each by its own time. */
  private evictEnded(): void {
    const nowMs = this.clock.nowMs();
    if (nowMs - this.evictedAtMs < evictionPeriodMs) {
      return;
    }
    this.evictedAtMs = nowMs;
    for (const [batchId, untilMs] of this.retainedUntilMs) {
      if (untilMs <= nowMs) {
        this.retainedUntilMs.delete(batchId);
        this.batches.delete(batchId);
      }
    }
  }
}
