/**
 * Waits of one async function that another function may end early.
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

  /** Waits for a time, in milliseconds, unless `wake` was called before or is called meanwhile. */
  async sleep(durationMs: number): Promise<void> {
    await this.clock.sleep(durationMs, this.waking.signal);
    if (this.waking.signal.aborted && !this.isClosed) {
      this.waking = new AbortController();
    }
  }

  wake(): void {
    abortQuietly(this.waking);
  }

  /** Ends this wait and all later ones at once. */
  close(): void {
    this.isClosed = true;
    this.wake();
  }
}
