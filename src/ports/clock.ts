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
   * Waits until this turn of the event loop has read and handled what had arrived. Called from a timer or from the end of a
   * turn, it waits for the next reading of the sockets; called while a message is handled, for the rest of this one.
   */
  nextTurn(): Promise<void>;
}
