/** Port to the load of this process. */
export interface ProcessLoad {
  /** How late the event loop runs its timers, in milliseconds, over the last moments. */
  eventLoopDelayMs(): number;
  /** Used share of the memory that the process may take, between 0 and 1. */
  memoryShare(): number;
  close(): void;
}
