/**
 * Reads the configuration stream in order and decides on every entry. Where older entries are
 * dropped, it starts from a checkpoint, and decides nothing until it has one.
 */
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { unreachable } from '../errors/unreachable.js';
import type { LogPage, LogRecord, LogService, LogServiceError } from '../ports/logService.js';
import { checkEntry, decideEntry } from './decideEntry.js';
import type { CheckedEntry, EntryDecision } from './decideEntry.js';
import type { ConfigurationCheckpoint, ConfigurationRecord } from '../types/configuration.js';

export const configurationStream = 'configuration';

/** What the reader made of one entry. */
export type ReadEntry =
  | { readonly kind: 'decided'; readonly offset: number; readonly decision: EntryDecision }
  /** A checkpoint vouches for the record, but entries after it are dropped. */
  | { readonly kind: 'vouched'; readonly offset: number; readonly record: ConfigurationRecord }
  /** Earlier entries are dropped, so nobody can tell from the stream whether it counts. */
  | { readonly kind: 'undecidable'; readonly offset: number };

/** One read of the stream. */
export interface ReadStep {
  readonly entries: readonly ReadEntry[];
  readonly oldestOffset: number;
  readonly endOffset: number;
}

export class ConfigurationReader {
  private record: ConfigurationRecord | undefined;
  private nextOffset = 0;
  /** First offset of the entries that were read without a gap. */
  private firstOffset = 0;
  private proven = true;

  private constructor(private readonly logService: LogService) {}

  static create(logService: LogService): ConfigurationReader {
    return new ConfigurationReader(logService);
  }

  /** @returns the record in force after the entries read so far */
  get inForce(): ConfigurationRecord | undefined {
    return this.record;
  }

  /** @returns whether every entry up to here is decided */
  get isProven(): boolean {
    return this.proven;
  }

  get offset(): number {
    return this.nextOffset;
  }

  /**
   * Reads the next entries.
   *
   * @param waitMs - how long to wait for a first entry, in milliseconds
   * @param signal - gives up
   * @returns what was read, or why the log service gave no answer
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
      // A checkpoint moved the position while the read waited, so the page may leave entries out.
      return Ok({ entries, oldestOffset, endOffset });
    }
    this.noteGap(page.value);
    for (const record of page.value.records) {
      if (record.offset < this.nextOffset) {
        continue;
      }
      const entry = this.take(record);
      if (entry === 'restart') {
        break;
      }
      entries.push(entry);
    }
    return Ok({ entries, oldestOffset, endOffset });
  }

  /**
   * Starts from a checkpoint if this reader has missed entries and the checkpoint has not.
   *
   * @param checkpoint - a checkpoint, from the stream or a peer
   * @returns whether the reader goes on from the checkpoint
   */
  startFrom({ record, upToOffset }: ConfigurationCheckpoint): boolean {
    if (this.proven || upToOffset === undefined || upToOffset < this.firstOffset) {
      return false;
    }
    this.record = record;
    this.nextOffset = upToOffset;
    this.proven = true;
    return true;
  }

  /** Entries may be dropped before this reader has seen them, or the stream is another one. */
  private noteGap({ oldestOffset, endOffset }: LogPage): void {
    if (oldestOffset <= this.nextOffset && this.nextOffset <= endOffset) {
      return;
    }
    this.proven = oldestOffset === 0;
    this.record = undefined;
    this.firstOffset = oldestOffset;
    this.nextOffset = oldestOffset;
  }

  private take({ offset, value }: LogRecord): ReadEntry | 'restart' {
    const checked = checkEntry(value);
    if (!this.proven && this.resume(offset, checked)) {
      return 'restart';
    }
    this.nextOffset = offset + 1;
    return this.proven
      ? { kind: 'decided', offset, decision: this.decide(checked) }
      : toUndecided(offset, checked);
  }

  private resume(offset: number, checked: CheckedEntry): boolean {
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
  const isVouched = checked.kind === 'valid' && checked.entry.kind === 'checkpoint';
  return isVouched
    ? { kind: 'vouched', offset, record: checked.entry.record }
    : { kind: 'undecidable', offset };
};
