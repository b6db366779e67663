/** Port to the clocks and timers of this process. */
export interface Clock {
  /** Monotonic time in milliseconds. */
  nowMs(): number;
  /** Wall-clock time in milliseconds since the epoch; for logs and reports only. */
  wallMs(): number;
  /** Time since the VM booted in milliseconds; unlike `nowMs`, it includes suspensions of the VM. */
  bootMs(): number;
  /**
   * Waits for a time.
   *
   * @param durationMs - the time in milliseconds
   * @param signal - ends the wait early; the promise resolves then, too
   */
  sleep(durationMs: number, signal?: AbortSignal): Promise<void>;
  /**
   * Waits for a full turn of the event loop. When it is over, whatever had arrived at this process when it began was
   * read.
   */
  nextTurn(): Promise<void>;
}
