/**
 * Detects that the VM was suspended: the monotonic clock stops meanwhile, while the time since boot
 * goes on. What callers and workers did in that time is unknown, so that no state from before the
 * suspension can be relied on.
 */
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import { sleepUntilNextPeriod } from '../utils/periodicSleep.js';

const checkPeriodMs = 100;
/** Shorter suspensions, in milliseconds, are ignored: leases and callers outlast them. */
const minSuspensionMs = 300;

export interface SuspendDetectorOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called after a suspension with its duration in milliseconds. */
  readonly onSuspended: (durationMs: number) => void;
}

export class SuspendDetector {
  private readonly stop = new AbortController();
  private readonly logger: Logger;
  /** Wall-clock time less the monotonic time. */
  private wallOffsetMs: number;
  /** Time since boot less the monotonic time; grows by each suspension. */
  private bootOffsetMs: number;
  private readonly checking: Promise<void>;

  private constructor(private readonly options: SuspendDetectorOptions) {
    const { clock, logger } = options;
    this.logger = logger.forPart('process');
    this.wallOffsetMs = clock.wallMs() - clock.nowMs();
    this.bootOffsetMs = clock.bootMs() - clock.nowMs();
    this.checking = this.checkPeriodically();
  }

  static create(options: SuspendDetectorOptions): SuspendDetector {
    return new SuspendDetector(options);
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

  /**
   * Compares the clocks with the recorded offsets. The wall clock is cheap to read, but may be set,
   * so that the time since boot has to confirm a suspension.
   */
  private check(): void {
    const { clock, onSuspended } = this.options;
    const wallOffsetMs = clock.wallMs() - clock.nowMs();
    if (Math.abs(wallOffsetMs - this.wallOffsetMs) < minSuspensionMs) {
      return;
    }
    this.wallOffsetMs = wallOffsetMs;
    const bootOffsetMs = clock.bootMs() - clock.nowMs();
    const durationMs = Math.round(bootOffsetMs - this.bootOffsetMs);
    this.bootOffsetMs = bootOffsetMs;
    if (durationMs >= minSuspensionMs) {
      this.logger.warn('The VM was suspended.', { durationMs });
      onSuspended(durationMs);
    } else {
      this.logger.info('The time of day was set.', { durationMs: Math.round(wallOffsetMs) });
    }
  }
}
