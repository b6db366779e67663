/**
 * A sleep of one async function that other functions can end early.
 */
import type { Clock } from '../ports/clock.js';
import { abortQuietly } from './abortQuietly.js';

export class WakeableSleep {
  private waking = new AbortController();
  private isClosed = false;

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): WakeableSleep {
    return new WakeableSleep(clock);
  }

  /**
   * Sleeps until the time is over or `wake` is called. Returns at once if `wake` was called since the
   * last sleep ended.
   */
  async sleep(durationMs: number): Promise<void> {
    await this.clock.sleep(durationMs, this.waking.signal);
    if (this.waking.signal.aborted && !this.isClosed) {
      this.waking = new AbortController();
    }
  }

  wake(): void {
    abortQuietly(this.waking);
  }

  /** Ends the current sleep and all later ones at once. */
  close(): void {
    this.isClosed = true;
    this.wake();
  }
}
