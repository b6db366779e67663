/**
 * Metrics sent over UDP in the StatsD format, by `hot-shots`.
 */
import { StatsD } from 'hot-shots';
import type { Metrics } from '../../ports/metrics.js';

export interface StatsdMetricsOptions {
  readonly host: string;
  readonly port: number;
  readonly vmId: string;
}

export class StatsdMetrics implements Metrics {
  private readonly client: StatsD;

  private constructor({ host, port, vmId }: StatsdMetricsOptions) {
    this.client = new StatsD({
      host,
      port,
      prefix: 'toucandyke.',
      globalTags: [`vm:${vmId}`],
      // Failures to send metrics are ignored.
      errorHandler: () => undefined,
    });
  }

  static create(options: StatsdMetricsOptions): StatsdMetrics {
    return new StatsdMetrics(options);
  }

  count(name: string, value = 1, tags: readonly string[] = []): void {
    this.client.increment(name, value, [...tags]);
  }

  gauge(name: string, value: number, tags: readonly string[] = []): void {
    this.client.gauge(name, value, [...tags]);
  }

  durationMs(name: string, valueMs: number, tags: readonly string[] = []): void {
    this.client.timing(name, valueMs, [...tags]);
  }

  close(): Promise<void> {
    return new Promise((resolve) => this.client.close(() => resolve()));
  }
}
