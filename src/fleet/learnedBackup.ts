/**
 * Saves what a daemon has learned, the run times of tasks and the slowdown factors of workers, to
 * the platform's store, and restores it at the start. The copy there survives the loss of all VMs.
 */
import type { RunTimePredictor } from '../bestEffort/runTimePredictor.js';
import type { Clock } from '../ports/clock.js';
import type { FleetStore } from '../ports/fleetStore.js';
import type { Logger } from '../ports/logger.js';
import type { TaskSupervisor } from '../utils/taskSupervisor.js';
import type { WorkerSpeedCache } from '../workers/workerSpeedCache.js';
import type { Member } from '../types/fleet.js';

const savePeriodMs = 8_000;
/** Pause after an attempt to read that failed, in milliseconds. */
const readPauseMs = 500;
const maxReadAttempts = 6;

export interface LearnedBackupOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: FleetStore;
  readonly member: Member;
  readonly supervisor: TaskSupervisor;
  readonly lengths: RunTimePredictor;
  readonly speeds: WorkerSpeedCache;
}

export class LearnedBackup {
  private readonly stop = new AbortController();
  private readonly logger: Logger;
  private readonly saving: Promise<void>;

  private constructor(private readonly options: LearnedBackupOptions) {
    this.logger = options.logger.forPart('learned');
    this.saving = options.supervisor.keep(
      'saving what was learned',
      () => this.savePeriodically(),
      this.stop.signal,
    );
  }

  static create(options: LearnedBackupOptions): LearnedBackup {
    return new LearnedBackup(options);
  }

  async close(): Promise<void> {
    this.stop.abort();
    await this.saving;
  }

  /** Restores what was saved, then saves periodically until the daemon closes. */
  private async savePeriodically(): Promise<void> {
    const { clock } = this.options;
    await this.restoreSaved();
    while (!this.stop.signal.aborted) {
      await clock.sleep(savePeriodMs, this.stop.signal);
      await this.save();
    }
  }

  /** Reads what all daemons of the fleet have saved; gives up after several attempts. */
  private async restoreSaved(): Promise<void> {
    const { clock, store, lengths, speeds } = this.options;
    for (let attempts = 0; attempts < maxReadAttempts && !this.stop.signal.aborted; attempts += 1) {
      const saved = await store.readLearned();
      if (saved.isOk()) {
        for (const { savedBy, learned } of saved.value) {
          lengths.restoreSavedSums(savedBy, learned.lengths);
          learned.speeds.forEach((speed) => speeds.recordIfAbsent(speed));
        }
        this.logger.info('What was learned before is read.', { count: saved.value.length });
        return;
      }
      await clock.sleep(readPauseMs, this.stop.signal);
    }
    this.logger.warn('What was learned before cannot be read.', { count: maxReadAttempts });
  }

  /** Saves the state in place of this daemon's last copy; does nothing without an observation. */
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
