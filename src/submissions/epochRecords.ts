/**
 * The submissions of one epoch, with the memory that they take.
 */
import type { FinishedRecord } from '../ports/peers.js';
import type { SubmissionRecord } from './types.js';

/** Memory of a record without its key and answer, in bytes. */
const recordOverheadBytes = 256;
const bytesPerChar = 2;

/** One submission among the records of its epoch. */
export interface NamedRecord {
  readonly callerId: string;
  readonly key: string;
  readonly record: SubmissionRecord;
}

interface StoredRecord extends NamedRecord {
  readonly bytes: number;
}

export class EpochRecords {
  private readonly records = new Map<string, StoredRecord>();
  private usedBytes = 0;

  private constructor(readonly epoch: number) {}

  /**
   * Creates an empty epoch.
   *
   * @param epoch - its number
   */
  static create(epoch: number): EpochRecords {
    return new EpochRecords(epoch);
  }

  /** @returns the number of records */
  get size(): number {
    return this.records.size;
  }

  /** @returns an estimate of the memory of all records */
  get bytes(): number {
    return this.usedBytes;
  }

  find(callerId: string, key: string): SubmissionRecord | undefined {
    return this.records.get(identify(callerId, key))?.record;
  }

  /** Adds a record or replaces it. */
  set(callerId: string, key: string, record: SubmissionRecord): void {
    const identity = identify(callerId, key);
    const bytes = estimateBytes(identity, record);
    this.usedBytes += bytes - (this.records.get(identity)?.bytes ?? 0);
    this.records.set(identity, { callerId, key, record, bytes });
  }

  all(): Iterable<NamedRecord> {
    return this.records.values();
  }
}

/** Names cannot hold a space, so the identity is unambiguous. */
const identify = (callerId: string, key: string): string => `${callerId} ${key}`;

const estimateBytes = (identity: string, record: SubmissionRecord): number =>
  recordOverheadBytes + bytesPerChar * (identity.length + countChars(record));

const countChars = (record: SubmissionRecord): number =>
  record.state === 'running' ? record.digest.length : countFinishedChars(record);

/**
 * Measures a finished record.
 *
 * @param record - the record
 * @returns the length of its JSON text in characters
 */
export const countFinishedChars = (record: FinishedRecord): number => JSON.stringify(record).length;
