/**
 * Whether this process keeps up with what its callers send: a caller that leaves is noticed only when its connection
 * is read, so that after a pause nothing proves that a caller still waits until the sockets were read once.
 */
import type { Clock } from '../ports/clock.js';
import { longestPauseMs } from '../utils/periodicSleep.js';
import { requesterCheckPeriodMs } from './requesterTimes.js';

export class CallerContact {
  private readAtMs: number;

  private constructor(private readonly clock: Clock) {
    this.readAtMs = clock.nowMs();
  }

  static create(clock: Clock): CallerContact {
    return new CallerContact(clock);
  }

  /** Records that the sockets were read; called once in each `requesterCheckPeriodMs`. */
  recordRead(): void {
    this.readAtMs = this.clock.nowMs();
  }

  /** Records that the VM was suspended, in milliseconds, which the monotonic clock omits. */
  recordSuspension(durationMs: number): void {
    this.readAtMs -= durationMs;
  }

  /** Time for which this process has been held up, in milliseconds; 0 while it reads its sockets in time. */
  get heldUpMs(): number {
    const sinceReadMs = this.clock.nowMs() - this.readAtMs;
    return sinceReadMs > longestPauseMs(requesterCheckPeriodMs) ? sinceReadMs : 0;
  }
}
