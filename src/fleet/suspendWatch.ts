/**
 * Notices that the VM was suspended: the monotonic clock stands still then, while the time since boot
 * goes on. What callers and workers did meanwhile is not known, so nothing of before is believed.
 */
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';

const checkPeriodMs = 100;
/** Shorter suspensions do no harm: leases and callers outlast them. */
const minSuspensionMs = 300;

export interface SuspendWatchOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called after a suspension. */
  readonly onSuspended: (durationMs: number) => void;
}

export class SuspendWatch {
  private readonly stop = new AbortController();
  private readonly logger: Logger;
  /** Time of day and time since boot, less the monotonic time. */
  private wallOffsetMs: number;
  private bootOffsetMs: number;
  private readonly watching: Promise<void>;

  private constructor(private readonly options: SuspendWatchOptions) {
    const { clock, logger } = options;
    this.logger = logger.forPart('process');
    this.wallOffsetMs = clock.wallMs() - clock.nowMs();
    this.bootOffsetMs = clock.bootMs() - clock.nowMs();
    this.watching = this.watch();
  }

  static create(options: SuspendWatchOptions): SuspendWatch {
    return new SuspendWatch(options);
  }

  async close(): Promise<void> {
    this.stop.abort();
    await this.watching;
  }

  private async watch(): Promise<void> {
    while (!this.stop.signal.aborted) {
      await this.options.clock.sleep(checkPeriodMs, this.stop.signal);
      this.check();
    }
  }

  /** The time of day is cheap to read, but may be set; the time since boot confirms it. */
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
