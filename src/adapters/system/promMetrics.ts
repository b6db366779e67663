/**
 * Metrics in the Prometheus text format, by `prom-client`, served over HTTP.
 */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { HostPort } from '../../config/settings.js';
import type { Metrics } from '../../ports/metrics.js';
import { HttpServer } from '../http/httpServer.js';

const maxConnections = 16;
const namePrefix = 'toucandyke_';
/** Bucket bounds of the duration histograms, in milliseconds. */
const bucketBoundsMs = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000];

export class PromMetrics implements Metrics {
  private readonly registry = new Registry();
  private readonly counters = new Map<string, Counter>();
  private readonly gauges = new Map<string, Gauge>();
  private readonly histograms = new Map<string, Histogram>();
  private server: HttpServer | undefined;

  private constructor() {
    // Built by create.
  }

  static create(): PromMetrics {
    return new PromMetrics();
  }

  /**
   * Serves the metrics over HTTP, at any path.
   *
   * @param address - listening address
   */
  async serve(address: HostPort): Promise<void> {
    this.server = await HttpServer.create({
      ...address,
      maxConnections,
      handle: async (_request, response) => {
        const text = await this.registry.metrics();
        response.writeHead(200, { 'content-type': this.registry.contentType });
        response.end(text);
      },
    });
  }

  count(name: string, value = 1, tags: readonly string[] = []): void {
    const labels = toLabels(tags);
    const counter = this.counters.get(name) ?? this.addCounter(name, Object.keys(labels));
    counter.inc(labels, value);
  }

  gauge(name: string, value: number, tags: readonly string[] = []): void {
    const labels = toLabels(tags);
    const gauge = this.gauges.get(name) ?? this.addGauge(name, Object.keys(labels));
    gauge.set(labels, value);
  }

  durationMs(name: string, valueMs: number, tags: readonly string[] = []): void {
    const labels = toLabels(tags);
    const histogram = this.histograms.get(name) ?? this.addHistogram(name, Object.keys(labels));
    histogram.observe(labels, valueMs);
  }

  async close(): Promise<void> {
    await this.server?.kill();
  }

  private addCounter(name: string, labelNames: string[]): Counter {
    const registers = [this.registry];
    const counter = new Counter({
      name: `${namePrefix}${name}`,
      help: name,
      labelNames,
      registers,
    });
    this.counters.set(name, counter);
    return counter;
  }

  private addGauge(name: string, labelNames: string[]): Gauge {
    const registers = [this.registry];
    const gauge = new Gauge({ name: `${namePrefix}${name}`, help: name, labelNames, registers });
    this.gauges.set(name, gauge);
    return gauge;
  }

  private addHistogram(name: string, labelNames: string[]): Histogram {
    const histogram = new Histogram({
      name: `${namePrefix}${name}_ms`,
      help: name,
      labelNames,
      buckets: bucketBoundsMs,
      registers: [this.registry],
    });
    this.histograms.set(name, histogram);
    return histogram;
  }
}

/** Converts tags of the form `name:value` to labels. */
const toLabels = (tags: readonly string[]): Record<string, string> =>
  Object.fromEntries(
    tags.map((tag): [string, string] => {
      const colon = tag.indexOf(':');
      return [tag.slice(0, colon), tag.slice(colon + 1)];
    }),
  );
