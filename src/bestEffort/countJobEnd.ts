/**
 * Counts how jobs ended.
 */
import { causeLabel } from '../explain/causeLabel.js';
import type { JobEnd } from '../ports/jobs.js';
import type { Metrics } from '../ports/metrics.js';

/** Counts one end by route, outcome and cause. */
export const countJobEnd = (metrics: Metrics, routeId: string, end: JobEnd): void =>
  metrics.count('jobs', 1, [`route:${routeId}`, `outcome:${end.kind}`, `cause:${causeLabel(end)}`]);
