/**
 * Reads the configuration stream of the platform's log continuously, puts every accepted version
 * in force, and appends checkpoints so that daemons that start later can read the stream too.
 */
import { unreachable } from '../errors/unreachable.js';
import type { Clock } from '../ports/clock.js';
import type { LogService } from '../ports/logService.js';
import type { Logger } from '../ports/logger.js';
import { CheckpointSchedule } from './checkpointSchedule.js';
import { configurationStream, ConfigurationReader } from './configurationReader.js';
import type { ReadEntry, ReadStep } from './configurationReader.js';
import type { ConfigurationStore } from './configurationStore.js';
import type { EntryDecision } from './decideEntry.js';
import type {
  ConfigurationCheckpoint,
  ConfigurationEntry,
  ConfigurationRecord,
} from '../types/configuration.js';

/** Time that the log service may hold a read open for a first entry. */
const readWaitMs = 2_000;
const retryPauseMs = 250;
/** Pause after an empty read; without it, a log service that answers at once causes a busy loop. */
const emptyReadPauseMs = 10;

export interface FollowerOptions {
  readonly logService: LogService;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: ConfigurationStore;
  /** Number of daemons that append a due checkpoint before this one does. */
  readonly checkpointRank: () => number;
}

export class ConfigurationFollower {
  private readonly stop = new AbortController();
  private readonly logger: Logger;
  private readonly reader: ConfigurationReader;
  private readonly schedule: CheckpointSchedule;
  private readonly done: Promise<void>;
  private wasLastReadAnswered = true;

  private constructor(private readonly options: FollowerOptions) {
    this.logger = options.logger.forPart('configuration');
    this.reader = ConfigurationReader.create(options.logService);
    this.schedule = CheckpointSchedule.create(options.clock);
    this.done = this.follow();
  }

  static create(options: FollowerOptions): ConfigurationFollower {
    return new ConfigurationFollower(options);
  }

  /** @returns whether the log service answered the last read; true before the first */
  get isLogReachable(): boolean {
    return this.wasLastReadAnswered;
  }

  /**
   * @returns the record in force, with the stream offset up to which it is confirmed, if known; nothing
   *   before the first record
   */
  checkpoint(): ConfigurationCheckpoint | undefined {
    const record = this.options.store.current?.record;
    if (record === undefined) {
      return undefined;
    }
    const isConfirmed = this.reader.isInForceKnown && isSameVersion(this.reader.inForce, record);
    return isConfirmed ? { record, upToOffset: this.reader.offset } : { record };
  }

  /**
   * Puts the record of a peer's checkpoint in force if its version is higher. Where this daemon has
   * missed entries of the stream, reading continues from the checkpoint.
   *
   * @param checkpoint - a checkpoint whose configuration is valid
   */
  adoptCheckpoint(checkpoint: ConfigurationCheckpoint): void {
    this.reader.startFrom(checkpoint);
    this.apply(checkpoint.record);
  }

  async close(): Promise<void> {
    this.stop.abort();
    await this.done;
  }

  private async follow(): Promise<void> {
    const { clock } = this.options;
    const { signal } = this.stop;
    while (!signal.aborted) {
      const step = await this.reader.read(readWaitMs, signal);
      this.wasLastReadAnswered = step.isOk();
      if (step.isErr()) {
        await clock.sleep(retryPauseMs, signal);
        continue;
      }
      this.processEntries(step.value);
      await this.appendCheckpointIfDue(step.value);
      if (step.value.entries.length === 0) {
        await clock.sleep(emptyReadPauseMs, signal);
      }
    }
  }

  private processEntries({ entries }: ReadStep): void {
    for (const entry of entries) {
      this.processEntry(entry);
    }
    // A reader that started from a checkpoint has a record in force that no entry of this read names.
    if (this.reader.inForce !== undefined) {
      this.apply(this.reader.inForce);
    }
  }

  private processEntry(entry: ReadEntry): void {
    switch (entry.kind) {
      case 'decided':
        return this.processDecision(entry.offset, entry.decision);
      case 'unconfirmed':
        return this.apply(entry.record);
      case 'undecidable':
        return this.logger.warn('An entry is skipped because entries before it are dropped.', {
          offset: entry.offset,
        });
      default:
        return unreachable(entry);
    }
  }

  private processDecision(offset: number, decision: EntryDecision): void {
    switch (decision.kind) {
      case 'replaces':
        this.schedule.recordCopy(offset);
        return this.apply(decision.record);
      case 'repeats':
        return this.schedule.recordCopy(offset);
      case 'conflicts':
        return this.logger.info('An entry does not replace the version in force.', {
          version: decision.record.version,
          offset,
        });
      case 'invalid':
        return this.logger.warn('An entry is not valid and is skipped.', {
          offset,
          reason: decision.faults[0]?.message ?? '',
        });
      default:
        return unreachable(decision);
    }
  }

  private apply(record: ConfigurationRecord): void {
    if (this.options.store.apply(record)) {
      this.logger.info('A version came into force.', { version: record.version });
    }
  }

  private async appendCheckpointIfDue(step: ReadStep): Promise<void> {
    const record = this.reader.inForce;
    if (record === undefined || !this.reader.isInForceKnown) {
      return;
    }
    if (!this.schedule.isDue(step, this.options.checkpointRank())) {
      return;
    }
    const upToOffset = this.reader.offset;
    const entry: ConfigurationEntry = { kind: 'checkpoint', upToOffset, record };
    this.schedule.recordAttempt();
    const { logService } = this.options;
    const appended = await logService.append(configurationStream, [entry], this.stop.signal);
    if (appended.isOk()) {
      this.logger.info('A checkpoint was written.', { version: record.version });
    }
  }
}

const isSameVersion = (
  inStream: ConfigurationRecord | undefined,
  inForce: ConfigurationRecord,
): boolean => inStream?.version === inForce.version;
