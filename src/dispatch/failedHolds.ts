/**
 * The holds of one worker that failed in a row, and the pauses after them.
 */

/** Failed holds in a row after which the worker counts as not answering. */
const maxFailedHolds = 2;
/** Pause after the failed hold that reaches the limit; grows by as much with each further one. */
const failedHoldPauseMs = 150;
const maxFailedHoldPauseMs = 1_000;

export class FailedHolds {
  private failed = 0;

  private constructor() {
    // Built by create.
  }

  static create(): FailedHolds {
    return new FailedHolds();
  }

  /** Holds in a row that failed. */
  get count(): number {
    return this.failed;
  }

  /** Whether so many have failed that the worker counts as not answering. */
  isSilent(): boolean {
    return this.failed >= maxFailedHolds;
  }

  /** Pause before the next hold, in milliseconds. */
  get pauseMs(): number {
    return Math.min(failedHoldPauseMs * (this.failed - 1), maxFailedHoldPauseMs);
  }

  /**
   * Records a failed hold.
   *
   * @returns whether the worker counts as not answering since this one
   */
  record(): boolean {
    this.failed += 1;
    return this.failed === maxFailedHolds;
  }

  /** Records that the worker has answered. */
  reset(): void {
    this.failed = 0;
  }
}
