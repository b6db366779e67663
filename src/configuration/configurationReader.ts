/**
 * Reads the configuration stream in order and decides for every entry whether it replaces the record
 * in force. Where the log has dropped older entries, it decides nothing until it can continue from
 * a checkpoint or a reset.
 */
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { unreachable } from '../errors/unreachable.js';
import type { LogPage, LogRecord, LogService, LogServiceError } from '../ports/logService.js';
import { checkEntry, decideEntry } from './decideEntry.js';
import type { CheckedEntry, EntryDecision } from './decideEntry.js';
import type { ConfigurationCheckpoint, ConfigurationRecord } from '../types/configuration.js';

export const configurationStream = 'configuration';

/** One entry of the stream and what the reader concludes from it. */
export type ReadEntry =
  | { readonly kind: 'decided'; readonly offset: number; readonly decision: EntryDecision }
  /** A checkpoint; dropped entries after its `upToOffset` may have replaced its record. */
  | { readonly kind: 'unconfirmed'; readonly offset: number; readonly record: ConfigurationRecord }
  /** Earlier entries are dropped, so the stream does not show whether this one takes effect. */
  | { readonly kind: 'undecidable'; readonly offset: number };

/** One read of the stream. */
export interface ReadStep {
  readonly entries: readonly ReadEntry[];
  readonly oldestOffset: number;
  readonly endOffset: number;
}

export class ConfigurationReader {
  /** The record in force after the entries read so far. */
  private record: ConfigurationRecord | undefined;
  private nextOffset = 0;
  /** Offset from which entries were read without a gap. */
  private firstOffset = 0;
  private inForceKnown = true;

  private constructor(private readonly logService: LogService) {}

  static create(logService: LogService): ConfigurationReader {
    return new ConfigurationReader(logService);
  }

  /** @returns the record in force after the entries read so far */
  get inForce(): ConfigurationRecord | undefined {
    return this.record;
  }

  /** @returns whether `inForce` is certain, since no entry that decides on it was missed */
  get isInForceKnown(): boolean {
    return this.inForceKnown;
  }

  /** @returns the offset of the next entry to read */
  get offset(): number {
    return this.nextOffset;
  }

  /**
   * Reads the next entries.
   *
   * @param waitMs - longest wait for a first entry, in milliseconds
   * @param signal - cancels the read
   * @returns the entries that were read, or why the log service gave no answer
   */
  async read(waitMs: number, signal: AbortSignal): Promise<Result<ReadStep, LogServiceError>> {
    const fromOffset = this.nextOffset;
    const page = await this.logService.read(configurationStream, fromOffset, waitMs, signal);
    if (page.isErr()) {
      return Err(page.error);
    }
    const { oldestOffset, endOffset } = page.value;
    const entries: ReadEntry[] = [];
    if (this.nextOffset !== fromOffset) {
      // `startFrom` moved the position while the read waited, so entries before the page may be missing.
      return Ok({ entries, oldestOffset, endOffset });
    }
    this.resetAfterGap(page.value);
    for (const record of page.value.records) {
      if (record.offset < this.nextOffset) {
        continue;
      }
      const entry = this.processRecord(record);
      if (entry === 'restart') {
        break;
      }
      entries.push(entry);
    }
    return Ok({ entries, oldestOffset, endOffset });
  }

  /**
   * Continues from a checkpoint if this reader has missed entries and the checkpoint covers them.
   *
   * @param checkpoint - a checkpoint, from the stream or a peer
   * @returns whether the reader continues from the checkpoint
   */
  startFrom({ record, upToOffset }: ConfigurationCheckpoint): boolean {
    if (this.inForceKnown || upToOffset === undefined || upToOffset < this.firstOffset) {
      return false;
    }
    this.record = record;
    this.nextOffset = upToOffset;
    this.inForceKnown = true;
    return true;
  }

  /**
   * Starts over at the oldest entry of a page if the log has dropped entries before this reader has
   * read them, or if the stream was replaced by a shorter one.
   */
  private resetAfterGap({ oldestOffset, endOffset }: LogPage): void {
    if (oldestOffset <= this.nextOffset && this.nextOffset <= endOffset) {
      return;
    }
    this.inForceKnown = oldestOffset === 0;
    this.record = undefined;
    this.firstOffset = oldestOffset;
    this.nextOffset = oldestOffset;
  }

  private processRecord({ offset, value }: LogRecord): ReadEntry | 'restart' {
    const checked = checkEntry(value);
    if (!this.inForceKnown && this.startFromEntry(offset, checked)) {
      return 'restart';
    }
    this.nextOffset = offset + 1;
    return this.inForceKnown
      ? { kind: 'decided', offset, decision: this.decide(checked) }
      : toUndecided(offset, checked);
  }

  /** @returns whether the reader continues from the entry; reading then starts over there */
  private startFromEntry(offset: number, checked: CheckedEntry): boolean {
    if (checked.kind === 'invalid') {
      return false;
    }
    const { entry } = checked;
    switch (entry.kind) {
      case 'publication':
        return false;
      case 'checkpoint':
        return entry.upToOffset <= offset && this.startFrom(entry);
      case 'reset':
        return this.startFrom({ record: entry.record, upToOffset: offset + 1 });
      default:
        return unreachable(entry);
    }
  }

  private decide(checked: CheckedEntry): EntryDecision {
    const decision = decideEntry(this.record, checked);
    if (decision.kind === 'replaces') {
      this.record = decision.record;
    }
    return decision;
  }
}

const toUndecided = (offset: number, checked: CheckedEntry): ReadEntry => {
  const isCheckpoint = checked.kind === 'valid' && checked.entry.kind === 'checkpoint';
  return isCheckpoint
    ? { kind: 'unconfirmed', offset, record: checked.entry.record }
    : { kind: 'undecidable', offset };
};
