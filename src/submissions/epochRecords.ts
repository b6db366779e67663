/**
 * The submission records of one epoch, with an estimate of the memory that they take.
 */
import type { FinishedRecord } from '../ports/peers.js';
import type { SubmissionRecord } from './types.js';

/** Estimated memory of a record without its key and its content. */
const recordOverheadBytes = 256;
const bytesPerChar = 2;

/** A submission record with the caller and key that identify it within its epoch. */
export interface KeyedRecord {
  readonly callerId: string;
  readonly key: string;
  readonly record: SubmissionRecord;
}

interface StoredRecord extends KeyedRecord {
  /** Estimated memory of the record. */
  readonly bytes: number;
}

export class EpochRecords {
  private readonly records = new Map<string, StoredRecord>();
  private totalBytes = 0;

  private constructor(readonly epoch: number) {}

  /**
   * Creates an empty set of records.
   *
   * @param epoch - number of the epoch
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
    return this.totalBytes;
  }

  find(callerId: string, key: string): SubmissionRecord | undefined {
    return this.records.get(composeMapKey(callerId, key))?.record;
  }

  /** Adds a record, or replaces the one of the same caller and key. */
  set(callerId: string, key: string, record: SubmissionRecord): void {
    const mapKey = composeMapKey(callerId, key);
    const bytes = estimateBytes(mapKey, record);
    this.totalBytes += bytes - (this.records.get(mapKey)?.bytes ?? 0);
    this.records.set(mapKey, { callerId, key, record, bytes });
  }

  entries(): Iterable<KeyedRecord> {
    return this.records.values();
  }
}

/** Caller ids and keys contain no space, so the composed key is unambiguous. */
const composeMapKey = (callerId: string, key: string): string => `${callerId} ${key}`;

const estimateBytes = (mapKey: string, record: SubmissionRecord): number =>
  recordOverheadBytes + bytesPerChar * (mapKey.length + estimateChars(record));

const estimateChars = (record: SubmissionRecord): number =>
  record.state === 'running' ? record.digest.length : countJsonChars(record);

/**
 * Measures a finished record.
 *
 * @param record - the record
 * @returns the length of its JSON text in characters
 */
export const countJsonChars = (record: FinishedRecord): number => JSON.stringify(record).length;
