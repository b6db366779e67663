/** Port to the metrics: counters, gauges and timings, with optional tags. */
export interface Metrics {
  count(name: string, value?: number, tags?: readonly string[]): void;
  gauge(name: string, value: number, tags?: readonly string[]): void;
  durationMs(name: string, valueMs: number, tags?: readonly string[]): void;
}
