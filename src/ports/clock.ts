/** Port to the time of this process. */
export interface Clock {
  /** Monotonic time in milliseconds. */
  nowMs(): number;
  /** Wall-clock time in milliseconds since the epoch; for logs and reports only. */
  wallMs(): number;
  /** Time since the VM booted in milliseconds, in which suspensions count. */
  bootMs(): number;
  /**
   * Waits.
   *
   * @param durationMs - how long
   * @param signal - ends the wait early; the promise then resolves
   */
  sleep(durationMs: number, signal?: AbortSignal): Promise<void>;
}
