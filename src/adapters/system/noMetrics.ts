/**
 * Metrics that are discarded, for processes without a metrics address.
 */
import type { Metrics } from '../../ports/metrics.js';

export const noMetrics: Metrics = {
  count: () => undefined,
  gauge: () => undefined,
  durationMs: () => undefined,
};
