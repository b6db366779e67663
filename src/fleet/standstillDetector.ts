/**
 * Detects that this process stood still: its VM was suspended, for which time the monotonic clock stops, or
 * the process was paused or its event loop was held up, for which time the clock goes on.
 *
 * What callers and workers did in that time is unknown, so that no state from before can be relied on: the
 * leases of all runs have ended or are about to, and callers have withdrawn their jobs. After waking, overdue
 * timers and messages that waited come before the next periodic check, so that every action that
 * relies on a permission calls `check` first.
 */
import { unreachable } from '../errors/unreachable.js';
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import { sleepUntilNextPeriod } from '../utils/periodicSleep.js';
import type { TaskSupervisor } from '../utils/taskSupervisor.js';

const checkPeriodMs = 100;
/** Shorter suspensions, in milliseconds, are ignored. */
const minSuspensionMs = 300;
/**
 * Time between two checks from which on the process stood still, in milliseconds. A caller sends no job again before,
 * and the leases of all runs have ended or are about to.
 */
const minStallMs = 1_000;
/**
 * Time for which a job is held that is read shortly after a standstill, in milliseconds: the end of its
 * caller's connection, if it came meanwhile, is read after it.
 */
const settlingTimeMs = 50;
/**
 * Longest time after a standstill in which jobs are held, in milliseconds: what was sent meanwhile may only
 * come when its sender's kernel sends it again, which takes up to as long as the standstill.
 */
const maxSettlingPeriodMs = 5_000;

/** A time in which this process did nothing, with its duration in milliseconds. */
export type Standstill =
  /** The VM was suspended; the monotonic clock does not contain the time. */
  | { readonly kind: 'suspended'; readonly durationMs: number }
  /** The process was paused, or its event loop held up. */
  | { readonly kind: 'stalled'; readonly durationMs: number };

export interface StandstillDetectorOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly supervisor: TaskSupervisor;
  /** Called after a standstill, within the check that detects it. */
  readonly onStandstill: (standstill: Standstill) => void;
}

export class StandstillDetector {
  private readonly stop = new AbortController();
  private readonly logger: Logger;
  /** Wall-clock time less the monotonic time. */
  private wallOffsetMs: number;
  /** Time since boot less the monotonic time; grows by each suspension. */
  private bootOffsetMs: number;
  /** Monotonic time of the last check. */
  private checkedAtMs: number;
  /** Monotonic time until which jobs are held after the last standstill. */
  private settlesUntilMs = -Infinity;
  private readonly checking: Promise<void>;

  private constructor(private readonly options: StandstillDetectorOptions) {
    const { clock, logger, supervisor } = options;
    this.logger = logger.forPart('process');
    this.wallOffsetMs = clock.wallMs() - clock.nowMs();
    this.bootOffsetMs = clock.bootMs() - clock.nowMs();
    this.checkedAtMs = clock.nowMs();
    const run = (): Promise<void> => this.checkPeriodically();
    this.checking = supervisor.keep('checking for standstills', run, this.stop.signal);
  }

  static create(options: StandstillDetectorOptions): StandstillDetector {
    return new StandstillDetector(options);
  }

  /**
   * Time for which a job that has just been read is held before anything of it is planned, in
   * milliseconds; 0 except shortly after a standstill.
   */
  get settlingMs(): number {
    return this.options.clock.nowMs() < this.settlesUntilMs ? settlingTimeMs : 0;
  }

  /** Detects a standstill since the last check. */
  check(): void {
    const standstill = this.findStandstill();
    if (standstill === undefined) {
      return;
    }
    const { durationMs } = standstill;
    this.settlesUntilMs = this.checkedAtMs + Math.min(durationMs, maxSettlingPeriodMs);
    this.logger.warn(sentenceOf(standstill), { durationMs });
    this.options.onStandstill(standstill);
  }

  async close(): Promise<void> {
    this.stop.abort();
    await this.checking;
  }

  private async checkPeriodically(): Promise<void> {
    while (!this.stop.signal.aborted) {
      await sleepUntilNextPeriod(this.options.clock, checkPeriodMs, this.stop.signal);
      this.check();
    }
  }

  private findStandstill(): Standstill | undefined {
    const nowMs = this.options.clock.nowMs();
    const sinceCheckMs = nowMs - this.checkedAtMs;
    this.checkedAtMs = nowMs;
    const suspendedMs = this.readSuspension();
    if (suspendedMs >= minSuspensionMs) {
      return { kind: 'suspended', durationMs: suspendedMs };
    }
    return sinceCheckMs >= minStallMs
      ? { kind: 'stalled', durationMs: Math.round(sinceCheckMs) }
      : undefined;
  }

  /**
   * Compares the clocks with the recorded offsets. The wall clock is cheap to read, but may be set,
   * so that the time since boot has to confirm a suspension.
   *
   * @returns how long the VM was suspended since the last check, in milliseconds
   */
  private readSuspension(): number {
    const { clock } = this.options;
    const wallOffsetMs = clock.wallMs() - clock.nowMs();
    if (Math.abs(wallOffsetMs - this.wallOffsetMs) < minSuspensionMs) {
      return 0;
    }
    this.wallOffsetMs = wallOffsetMs;
    const bootOffsetMs = clock.bootMs() - clock.nowMs();
    const durationMs = Math.round(bootOffsetMs - this.bootOffsetMs);
    this.bootOffsetMs = bootOffsetMs;
    if (durationMs < minSuspensionMs) {
      this.logger.info('The time of day was set.', { durationMs: Math.round(wallOffsetMs) });
    }
    return durationMs;
  }
}

const sentenceOf = ({ kind }: Standstill): string => {
  switch (kind) {
    case 'suspended':
      return 'The VM was suspended.';
    case 'stalled':
      return 'The process stood still.';
    default:
      return unreachable(kind);
  }
};
