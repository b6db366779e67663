/**
 * Load of the workers of one service in one failure domain, as far as a daemon knows it from load reports.
 */
import { z } from 'zod';

/** Work of one priority that waits for a worker. */
export const waitingWorkSchema = z.object({
  serviceId: z.string(),
  /** Priority of the route, lower numbers first. */
  priority: z.number().int(),
  taskCount: z.number().int().nonnegative(),
  /** Cores that the tasks need, times their expected run time in milliseconds. */
  coreMs: z.number().nonnegative(),
});
export type WaitingWork = z.infer<typeof waitingWorkSchema>;

export interface ServiceLoad {
  /** Cores that are free now on workers that accept tasks, in thousandths. */
  readonly freeCpuMillis: number;
  /** Cores of all workers that accept tasks, in thousandths. */
  readonly capacityCpuMillis: number;
  readonly waiting: readonly WaitingWork[];
  /** Age of the oldest report that counts, in milliseconds. */
  readonly oldestReportAgeMs: number;
}
