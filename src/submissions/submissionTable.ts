/**
 * The memory of one daemon process: every submission that it started or refused, by epoch.
 *
 * A submission starts only in an open epoch. A closed epoch is kept whole for the resubmission
 * window and then dropped whole, so that a dropped record never becomes a second start.
 */
import type { Clock } from '../ports/clock.js';
import type { Owner } from '../ports/peers.js';
import { EpochRecords } from './epochRecords.js';
import type { NamedRecord } from './epochRecords.js';
import type { Lookup, SubmissionRecord } from './types.js';

/** Time for which an epoch still takes submissions after its successor opened. */
export const epochGraceMs = 10_000;
/** Epochs among which the memory is shared. */
const epochsInMemory = 4;

export interface SubmissionTableOptions {
  readonly incarnation: string;
  readonly clock: Clock;
  /** Memory of all records; the oldest epochs are dropped beyond it. */
  readonly maxBytes: number;
  /** Time for which a caller may submit a job again, in milliseconds. */
  readonly windowMs: () => number;
}

interface Epoch {
  readonly records: EpochRecords;
  readonly openedAtMs: number;
  /** When it takes no more submissions; not known while it is the newest. */
  closesAtMs: number;
}

export class SubmissionTable {
  private epochs: Epoch[];
  private newest: Epoch;
  private frozen = false;

  private constructor(private readonly options: SubmissionTableOptions) {
    this.newest = openEpoch(1, options.clock.nowMs());
    this.epochs = [this.newest];
  }

  static create(options: SubmissionTableOptions): SubmissionTable {
    return new SubmissionTable(options);
  }

  /** @returns the owner part that new keys should carry */
  get owner(): Owner {
    this.roll();
    return { incarnation: this.options.incarnation, epoch: this.newest.records.epoch };
  }

  /** @returns the oldest epoch whose records are still whole */
  get oldestEpoch(): number {
    this.roll();
    return this.epochs[0]?.records.epoch ?? this.newest.records.epoch;
  }

  /** @returns the number of remembered submissions */
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
  find(epoch: number, callerId: string, key: string): Lookup {
    this.roll();
    const found = this.epochs.find(({ records }) => records.epoch === epoch);
    if (found === undefined) {
      return { kind: 'forgotten' };
    }
    const record = found.records.find(callerId, key);
    if (record !== undefined) {
      return { kind: 'known', record };
    }
    return { kind: this.isOpen(found) ? 'absent' : 'never-started' };
  }

  /**
   * Remembers a submission, or what became of it. Does nothing where the epoch was dropped.
   *
   * @param epoch - the epoch of its owner
   * @param callerId - the caller
   * @param key - the submission key
   * @param record - what became of it
   */
  remember(epoch: number, callerId: string, key: string, record: SubmissionRecord): void {
    this.epochs.find(({ records }) => records.epoch === epoch)?.records.set(callerId, key, record);
  }

  /** Closes every epoch for good: nothing starts from now on. */
  freeze(): void {
    this.frozen = true;
  }

  /** @returns every record with its epoch */
  *all(): Generator<NamedRecord & { readonly epoch: number }> {
    for (const { records } of this.epochs) {
      for (const named of records.all()) {
        yield { ...named, epoch: records.epoch };
      }
    }
  }

  private isOpen(epoch: Epoch): boolean {
    return !this.frozen && this.options.clock.nowMs() < epoch.closesAtMs;
  }

  /** Opens the next epoch when it is due and drops what is past its window or beyond the memory. */
  private roll(): void {
    if (this.frozen) {
      return;
    }
    const { clock, maxBytes } = this.options;
    const nowMs = clock.nowMs();
    const windowMs = this.options.windowMs();
    const isDue = nowMs - this.newest.openedAtMs >= windowMs / 2;
    if (isDue || this.newest.records.bytes >= maxBytes / epochsInMemory) {
      this.newest.closesAtMs = nowMs + epochGraceMs;
      this.newest = openEpoch(this.newest.records.epoch + 1, nowMs);
      this.epochs.push(this.newest);
    }
    this.epochs = this.epochs.filter(({ closesAtMs }) => nowMs < closesAtMs + windowMs);
    while (this.bytes > maxBytes && this.epochs.length > 1) {
      this.epochs.shift();
    }
  }
}

const openEpoch = (epoch: number, openedAtMs: number): Epoch => ({
  records: EpochRecords.create(epoch),
  openedAtMs,
  closesAtMs: Infinity,
});
