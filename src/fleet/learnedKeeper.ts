/**
 * Keeps a copy of what a daemon has learned in the platform's store, which outlives a loss of all VMs.
 */
import type { RunTimePredictor } from '../bestEffort/runLengths.js';
import type { Clock } from '../ports/clock.js';
import type { FleetStore } from '../ports/fleetStore.js';
import type { Logger } from '../ports/logger.js';
import type { SpeedMemory } from '../workers/speedMemory.js';
import type { Member } from '../types/fleet.js';

const savePeriodMs = 8_000;
const readPauseMs = 500;
const maxReads = 6;

export interface LearnedKeeperOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: FleetStore;
  readonly member: Member;
  readonly lengths: RunTimePredictor;
  readonly speeds: SpeedMemory;
}

export class LearnedKeeper {
  private readonly stop = new AbortController();
  private readonly logger: Logger;
  private readonly keeping: Promise<void>;

  private constructor(private readonly options: LearnedKeeperOptions) {
    this.logger = options.logger.forPart('learned');
    this.keeping = this.keep();
  }

  static create(options: LearnedKeeperOptions): LearnedKeeper {
    return new LearnedKeeper(options);
  }

  async close(): Promise<void> {
    this.stop.abort();
    await this.keeping;
  }

  private async keep(): Promise<void> {
    const { clock } = this.options;
    await this.readSaved();
    while (!this.stop.signal.aborted) {
      await clock.sleep(savePeriodMs, this.stop.signal);
      await this.save();
    }
  }

  private async readSaved(): Promise<void> {
    const { clock, store, lengths, speeds } = this.options;
    for (let reads = 0; reads < maxReads && !this.stop.signal.aborted; reads += 1) {
      const saved = await store.readLearned();
      if (saved.isOk()) {
        for (const { savedBy, learned } of saved.value) {
          lengths.restoreSavedSums(savedBy, learned.lengths);
          learned.speeds.forEach((speed) => speeds.noteRemembered(speed));
        }
        this.logger.info('What was learned before is read.', { count: saved.value.length });
        return;
      }
      await clock.sleep(readPauseMs, this.stop.signal);
    }
    this.logger.warn('What was learned before cannot be read.', { count: maxReads });
  }

  private async save(): Promise<void> {
    const { store, member, lengths, speeds } = this.options;
    const learned = { lengths: lengths.share(), speeds: speeds.list() };
    if (learned.lengths.length === 0 || this.stop.signal.aborted) {
      return;
    }
    const saved = await store.saveLearned(member, learned);
    if (saved.isErr()) {
      this.logger.debug('What was learned is not saved.', { reason: saved.error.detail });
    }
  }
}
