/**
 * Load of this process: event loop delay and heap usage, as measured by Node.js.
 */
import { monitorEventLoopDelay, performance } from 'node:perf_hooks';
import type { IntervalHistogram } from 'node:perf_hooks';
import { getHeapStatistics } from 'node:v8';
import type { ProcessLoad } from '../../ports/processLoad.js';

const sampleMs = 20;
/** Time over which the load is measured before it is reported. */
const windowMs = 500;
const reportedPercentile = 90;
const nsPerMs = 1_000_000;

export class SystemProcessLoad implements ProcessLoad {
  private windowStartedAtMs = performance.now();
  private delayMs = 0;
  private share = 0;

  private constructor(private readonly histogram: IntervalHistogram) {}

  static create(): SystemProcessLoad {
    const histogram = monitorEventLoopDelay({ resolution: sampleMs });
    histogram.enable();
    return new SystemProcessLoad(histogram);
  }

  eventLoopDelayMs(): number {
    this.refreshWindow();
    return this.delayMs;
  }

  memoryShare(): number {
    this.refreshWindow();
    return this.share;
  }

  close(): void {
    this.histogram.disable();
  }

  /** Computes the load of the current window if it is over, and starts the next one. */
  private refreshWindow(): void {
    const nowMs = performance.now();
    if (nowMs - this.windowStartedAtMs < windowMs) {
      return;
    }
    this.windowStartedAtMs = nowMs;
    const intervalMs = this.histogram.percentile(reportedPercentile) / nsPerMs;
    this.delayMs = Math.max(intervalMs - sampleMs, 0);
    this.histogram.reset();
    const heap = getHeapStatistics();
    this.share = heap.used_heap_size / heap.heap_size_limit;
  }
}
