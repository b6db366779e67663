/**
 * Follows the configuration stream of the platform's log, puts every version that counts in force,
 * and keeps the stream readable for daemons that start later.
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

const readWaitMs = 2_000;
const retryPauseMs = 250;
/** Pause after an empty read, so that a log that does not wait causes no spinning. */
const emptyReadPauseMs = 10;

/** What the follower needs. */
export interface FollowerOptions {
  readonly logService: LogService;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: ConfigurationStore;
  /** Place of this daemon among those that write checkpoints; 0 is the first. */
  readonly checkpointRank: () => number;
}

export class ConfigurationFollower {
  private readonly stop = new AbortController();
  private readonly logger: Logger;
  private readonly reader: ConfigurationReader;
  private readonly schedule: CheckpointSchedule;
  private readonly done: Promise<void>;
  private logAnswers = true;

  private constructor(private readonly options: FollowerOptions) {
    this.logger = options.logger.forPart('configuration');
    this.reader = ConfigurationReader.create(options.logService);
    this.schedule = CheckpointSchedule.create(options.clock);
    this.done = this.follow();
  }

  static create(options: FollowerOptions): ConfigurationFollower {
    return new ConfigurationFollower(options);
  }

  /** @returns whether the last read of the log was answered */
  get isLogReachable(): boolean {
    return this.logAnswers;
  }

  /** @returns the record in force, with the position in the stream where that is decided */
  checkpoint(): ConfigurationCheckpoint | undefined {
    const record = this.options.store.current?.record;
    if (record === undefined) {
      return undefined;
    }
    const isDecided = this.reader.isProven && isSameVersion(this.reader.inForce, record);
    return isDecided ? { record, upToOffset: this.reader.offset } : { record };
  }

  /**
   * Puts a checkpoint of a peer in force unless it is older, and goes on from it where entries of
   * the stream were missed.
   *
   * @param checkpoint - a checked checkpoint
   */
  takeCheckpoint(checkpoint: ConfigurationCheckpoint): void {
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
      this.logAnswers = step.isOk();
      if (step.isErr()) {
        await clock.sleep(retryPauseMs, signal);
        continue;
      }
      this.take(step.value);
      await this.writeCheckpoint(step.value);
      if (step.value.entries.length === 0) {
        await clock.sleep(emptyReadPauseMs, signal);
      }
    }
  }

  private take({ entries }: ReadStep): void {
    for (const entry of entries) {
      this.takeEntry(entry);
    }
    // A reader that went on from a checkpoint has a record without an entry that replaced it.
    if (this.reader.inForce !== undefined) {
      this.apply(this.reader.inForce);
    }
  }

  private takeEntry(entry: ReadEntry): void {
    switch (entry.kind) {
      case 'decided':
        return this.takeDecision(entry.offset, entry.decision);
      case 'vouched':
        return this.apply(entry.record);
      case 'undecidable':
        return this.logger.warn('An entry follows dropped ones and is passed over.', {
          offset: entry.offset,
        });
      default:
        return unreachable(entry);
    }
  }

  private takeDecision(offset: number, decision: EntryDecision): void {
    switch (decision.kind) {
      case 'replaces':
        this.schedule.anchorAt(offset);
        return this.apply(decision.record);
      case 'repeats':
        return this.schedule.anchorAt(offset);
      case 'conflicts':
        return this.logger.info('An entry does not replace the version in force.', {
          version: decision.record.version,
          offset,
        });
      case 'invalid':
        return this.logger.warn('An entry is not valid and is passed over.', {
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

  private async writeCheckpoint(step: ReadStep): Promise<void> {
    const record = this.reader.inForce;
    if (record === undefined || !this.reader.isProven) {
      return;
    }
    if (!this.schedule.isDue(step, this.options.checkpointRank())) {
      return;
    }
    const upToOffset = this.reader.offset;
    const entry: ConfigurationEntry = { kind: 'checkpoint', upToOffset, record };
    this.schedule.noteAttempt();
    const { logService } = this.options;
    const appended = await logService.append(configurationStream, [entry], this.stop.signal);
    if (appended.isOk()) {
      this.logger.info('A checkpoint was written.', { version: record.version });
    }
  }
}

const isSameVersion = (
  decided: ConfigurationRecord | undefined,
  inForce: ConfigurationRecord,
): boolean => decided?.version === inForce.version;
