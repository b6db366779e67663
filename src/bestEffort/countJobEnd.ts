/**
 * The metric that counts ended jobs.
 */
import { causeLabel } from '../explain/causeLabel.js';
import type { JobEnd } from '../ports/jobs.js';
import type { Metrics } from '../ports/metrics.js';

/** Counts the end of one job by route, outcome and cause. */
export const countJobEnd = (metrics: Metrics, routeId: string, end: JobEnd): void =>
  metrics.count('jobs', 1, [`route:${routeId}`, `outcome:${end.kind}`, `cause:${causeLabel(end)}`]);
