/**
 * In-memory table of the submissions that this daemon process started or refused, by epoch.
 *
 * A submission starts only in an open epoch. The records of a closed epoch are kept complete for the
 * resubmission window and then discarded together, so that a key whose record is gone cannot start
 * a second time: its epoch is closed.
 */
import type { Clock } from '../ports/clock.js';
import type { Owner } from '../ports/peers.js';
import { EpochRecords } from './epochRecords.js';
import type { KeyedRecord } from './epochRecords.js';
import type { LookupResult, SubmissionRecord } from './types.js';

/** Time for which an epoch still accepts submissions after the next one opened. */
export const epochGraceMs = 10_000;
/** Epochs that share the memory limit; an epoch that reaches its share is closed early. */
const epochsPerMemoryLimit = 4;

export interface SubmissionTableOptions {
  readonly incarnation: string;
  readonly clock: Clock;
  /** Memory limit for all records; beyond it the oldest epochs are discarded. */
  readonly maxBytes: number;
  /** Returns the time for which a caller may submit a job again, in milliseconds. */
  readonly resubmissionWindowMs: () => number;
}

interface Epoch {
  readonly records: EpochRecords;
  readonly openedAtMs: number;
  /** When it stops accepting submissions; `Infinity` while it is the newest epoch. */
  closesAtMs: number;
}

export class SubmissionTable {
  /** In the order of their numbers; the last is `newest`. */
  private epochs: Epoch[];
  private newest: Epoch;
  private isFrozen = false;

  private constructor(private readonly options: SubmissionTableOptions) {
    this.newest = createEpoch(1, options.clock.nowMs());
    this.epochs = [this.newest];
  }

  static create(options: SubmissionTableOptions): SubmissionTable {
    return new SubmissionTable(options);
  }

  /** @returns the owner part that new keys should carry */
  get owner(): Owner {
    this.updateEpochs();
    return { incarnation: this.options.incarnation, epoch: this.newest.records.epoch };
  }

  /** @returns the oldest epoch whose records are still complete */
  get oldestEpoch(): number {
    this.updateEpochs();
    return this.epochs[0]?.records.epoch ?? this.newest.records.epoch;
  }

  /** @returns the number of stored submissions */
  get size(): number {
    return this.epochs.reduce((sum, { records }) => sum + records.size, 0);
  }

  /** @returns an estimate of the memory of all records */
  get bytes(): number {
    return this.epochs.reduce((sum, { records }) => sum + records.bytes, 0);
  }

  /**
   * Looks up a submission.
   *
   * @param epoch - the epoch of its owner
   * @param callerId - the caller
   * @param key - the submission key
   * @returns what can be proved about it
   */
  lookUp(epoch: number, callerId: string, key: string): LookupResult {
    this.updateEpochs();
    const stored = this.epochs.find(({ records }) => records.epoch === epoch);
    if (stored === undefined) {
      return { kind: 'discarded' };
    }
    const record = stored.records.find(callerId, key);
    if (record !== undefined) {
      return { kind: 'known', record };
    }
    return { kind: this.isOpen(stored) ? 'startable' : 'never-started' };
  }

  /**
   * Stores the record of a submission, or replaces it. Does nothing if the epoch was discarded.
   *
   * @param epoch - the epoch of its owner
   * @param callerId - the caller
   * @param key - the submission key
   * @param record - its current state
   */
  setRecord(epoch: number, callerId: string, key: string, record: SubmissionRecord): void {
    this.epochs.find(({ records }) => records.epoch === epoch)?.records.set(callerId, key, record);
  }

  /** Closes every epoch for good: no submission starts from now on, and no epoch is discarded. */
  freeze(): void {
    this.isFrozen = true;
  }

  /** @returns every record with its epoch */
  *entries(): Generator<KeyedRecord & { readonly epoch: number }> {
    for (const { records } of this.epochs) {
      for (const entry of records.entries()) {
        yield { ...entry, epoch: records.epoch };
      }
    }
  }

  private isOpen(epoch: Epoch): boolean {
    return !this.isFrozen && this.options.clock.nowMs() < epoch.closesAtMs;
  }

  /**
   * Opens the next epoch when half a resubmission window has passed or the newest one has its share
   * of the memory. Discards epochs whose window has passed, and the oldest beyond the memory limit.
   */
  private updateEpochs(): void {
    if (this.isFrozen) {
      return;
    }
    const { clock, maxBytes } = this.options;
    const nowMs = clock.nowMs();
    const windowMs = this.options.resubmissionWindowMs();
    const isDue = nowMs - this.newest.openedAtMs >= windowMs / 2;
    if (isDue || this.newest.records.bytes >= maxBytes / epochsPerMemoryLimit) {
      this.newest.closesAtMs = nowMs + epochGraceMs;
      this.newest = createEpoch(this.newest.records.epoch + 1, nowMs);
      this.epochs.push(this.newest);
    }
    this.epochs = this.epochs.filter(({ closesAtMs }) => nowMs < closesAtMs + windowMs);
    while (this.bytes > maxBytes && this.epochs.length > 1) {
      this.epochs.shift();
    }
  }
}

const createEpoch = (epoch: number, openedAtMs: number): Epoch => ({
  records: EpochRecords.create(epoch),
  openedAtMs,
  closesAtMs: Infinity,
});
