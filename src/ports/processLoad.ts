/** Port to the load of this process. */
export interface ProcessLoad {
  /** Delay with which the event loop has recently run its timers, in milliseconds. */
  eventLoopDelayMs(): number;
  /** Used share of the memory that the process may allocate, between 0 and 1. */
  memoryShare(): number;
  close(): void;
}
