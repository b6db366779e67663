/** Structured fields of a log line. */
export interface LogContext {
  readonly jobId?: string;
  readonly callerId?: string;
  readonly endpointId?: string;
  readonly vmId?: string;
  readonly version?: number;
  readonly durationMs?: number;
  readonly count?: number;
  readonly offset?: number;
  readonly reason?: string;
  readonly routeId?: string;
  readonly batchId?: string;
  /** Name of a task on the workers. */
  readonly taskName?: string;
  /** Number of the run of a task. */
  readonly run?: number;
  readonly workerId?: string;
  /** Capacity of a worker, in thousandths of a core. */
  readonly cpuMillis?: number;
  /** Cores that are kept free for more urgent jobs, in thousandths. */
  readonly reservedCpuMillis?: number;
  readonly state?: string;
  /** Incarnation of a daemon. */
  readonly nodeId?: string;
  readonly address?: string;
  readonly generation?: number;
  /** Fencing token. */
  readonly token?: number;
  readonly expectedMs?: number;
  readonly leftMs?: number;
  /** Age of the data that a decision was based on, in milliseconds. */
  readonly ageMs?: number;
  /** Times for which a request may have waited: to be accepted, unread, and on the link; in milliseconds. */
  readonly acceptWaitMs?: number;
  readonly unreadMs?: number;
  readonly linkDelayMs?: number;
  /** Longest turn of the event loop, in milliseconds. */
  readonly longestTurnMs?: number;
  /** Time that was left of a lease, in milliseconds; negative after its end. */
  readonly leaseLeftMs?: number;
  readonly outcome?: string;
  /** Names of settings, separated by spaces. */
  readonly fields?: string;
}

/** Port to the structured log; each part of the daemon logs under its own prefix. */
export interface Logger {
  debug(sentence: string, context?: LogContext): void;
  info(sentence: string, context?: LogContext): void;
  warn(sentence: string, context?: LogContext): void;
  error(sentence: string, context?: LogContext): void;
  /**
   * Creates the logger of one part of the daemon.
   *
   * @param prefix - name of the part, such as `claims`
   * @returns a logger whose sentences start with the prefix
   */
  forPart(prefix: string): Logger;
}
