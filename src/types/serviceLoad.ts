/**
 * Load of the workers of one service in one failure domain, as far as a daemon knows it from load reports.
 */
export interface ServiceLoad {
  /** Cores that are free now on workers that accept tasks, in thousandths. */
  readonly freeCpuMillis: number;
  /** Cores of all workers that accept tasks, in thousandths. */
  readonly capacityCpuMillis: number;
}
