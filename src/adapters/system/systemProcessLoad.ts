/**
 * The load of this process, from Node's own histogram and heap statistics.
 */
import { monitorEventLoopDelay, performance } from 'node:perf_hooks';
import type { IntervalHistogram } from 'node:perf_hooks';
import { getHeapStatistics } from 'node:v8';
import type { ProcessLoad } from '../../ports/processLoad.js';

const sampleMs = 20;
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
    this.refresh();
    return this.delayMs;
  }

  memoryShare(): number {
    this.refresh();
    return this.share;
  }

  close(): void {
    this.histogram.disable();
  }

  private refresh(): void {
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
