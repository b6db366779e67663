/**
 * Follows the settings file of a running daemon. Fields that can change without a restart take effect
 * at once; for the others the log says that a restart is needed. A file that is not valid changes
 * nothing.
 */
import type { Result } from 'ts-results-es';
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import type { Metrics } from '../ports/metrics.js';
import { TaskSupervisor } from '../utils/taskSupervisor.js';
import { WakeableSleep } from '../utils/wakeableSleep.js';

/** Period in which the file is read, since it may also change without a signal, in milliseconds. */
const checkPeriodMs = 1_000;

/** Where settings come from. Both functions return a sentence on what is wrong as the error. */
export interface SettingsSource<S> {
  readonly readText: () => Result<string, string>;
  readonly decode: (text: string) => Result<S, string>;
}

export interface SettingsFollowerOptions<S extends object> {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly source: SettingsSource<S>;
  /** The settings that the daemon was started with. */
  readonly initial: S;
  /** Fields that can change without a restart. */
  readonly liveFields: readonly (keyof S & string)[];
  /** Puts settings in force; all fields but the live ones are as they were at the start. */
  readonly apply: (settings: S) => void;
}

/** What a read of the file led to; the tag of the metric `settings_reads`. */
type ReadOutcome = 'unchanged' | 'applied' | 'needs-restart' | 'invalid';

export class SettingsFollower<S extends object> {
  private readonly logger: Logger;
  private readonly sleeper: WakeableSleep;
  private readonly supervisor: TaskSupervisor;
  private inForce: S;
  /** Text of the file when it was last read, so that one change is handled once. */
  private lastText: string | undefined;
  /** Error of the last read, so that a lasting one is logged once. */
  private lastError: string | undefined;
  private isClosed = false;
  private readonly following: Promise<void>;

  private constructor(private readonly options: SettingsFollowerOptions<S>) {
    this.logger = options.logger.forPart('settings');
    this.sleeper = WakeableSleep.create(options.clock);
    this.supervisor = TaskSupervisor.create(options);
    this.inForce = options.initial;
    this.following = this.follow();
  }

  static create<S extends object>(options: SettingsFollowerOptions<S>): SettingsFollower<S> {
    return new SettingsFollower(options);
  }

  /** Reads the file soon. To be called when a signal says that it has changed. */
  reload(): void {
    this.logger.info('The settings are read again, as requested.');
    this.sleeper.wake();
  }

  async close(): Promise<void> {
    this.isClosed = true;
    this.sleeper.close();
    await this.following;
  }

  private async follow(): Promise<void> {
    while (!this.isClosed) {
      await this.supervisor.attempt('reading the settings', () => this.check());
      await this.sleeper.sleep(checkPeriodMs);
    }
  }

  private check(): void {
    const text = this.options.source.readText();
    if (text.isErr()) {
      this.reject(text.error);
      return;
    }
    if (text.value === this.lastText) {
      return;
    }
    this.lastText = text.value;
    const decoded = this.options.source.decode(text.value);
    if (decoded.isErr()) {
      this.reject(decoded.error);
      return;
    }
    this.lastError = undefined;
    this.accept(decoded.value);
  }

  /** Keeps the settings in force; the file may be read while it is being written. */
  private reject(reason: string): void {
    if (reason === this.lastError) {
      return;
    }
    this.lastError = reason;
    this.lastText = undefined;
    this.logger.warn('The settings file is not valid; the settings in force stay.', { reason });
    this.count('invalid');
  }

  private accept(settings: S): void {
    const { initial, liveFields, apply } = this.options;
    const isLive = (field: keyof S): boolean => liveFields.some((live) => live === field);
    const live = this.changedFields(settings, this.inForce).filter(isLive);
    const fixed = this.changedFields(settings, initial).filter((field) => !isLive(field));
    if (live.length > 0) {
      this.inForce = live.reduce((sum, field) => ({ ...sum, [field]: settings[field] }), {
        ...this.inForce,
      });
      apply(this.inForce);
      this.logger.info('Changed settings are in force.', { fields: live.join(' ') });
      this.count('applied');
    }
    if (fixed.length > 0) {
      const fields = fixed.join(' ');
      this.logger.warn('Changed settings take effect only after a restart.', { fields });
      this.count('needs-restart');
    }
    if (live.length + fixed.length === 0) {
      this.count('unchanged');
    }
  }

  private changedFields(settings: S, before: S): (keyof S & string)[] {
    const names = new Set([...Object.keys(settings), ...Object.keys(before)]) as Set<
      keyof S & string
    >;
    return [...names].filter(
      (name) => JSON.stringify(settings[name]) !== JSON.stringify(before[name]),
    );
  }

  private count(outcome: ReadOutcome): void {
    this.options.metrics.count('settings_reads', 1, [`outcome:${outcome}`]);
  }
}
