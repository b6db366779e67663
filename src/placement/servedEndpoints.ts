/**
 * Holds the endpoints that this daemon dispatches to, and those that only finish their running
 * tasks.
 */
import type { PlacedEndpoint } from '../inventory/inventoryIndex.js';
import { ServedEndpoint } from './servedEndpoint.js';
import type { ServedEndpointOptions } from './servedEndpoint.js';

export class ServedEndpoints {
  private readonly served = new Map<string, ServedEndpoint>();
  /** Resolve when the running tasks of a removed endpoint have ended. */
  private readonly draining = new Set<Promise<void>>();

  private constructor(private readonly options: ServedEndpointOptions) {}

  static create(options: ServedEndpointOptions): ServedEndpoints {
    return new ServedEndpoints(options);
  }

  /** Sets the endpoints to dispatch to; others accept no more tasks and are drained. */
  setEndpoints(endpoints: readonly PlacedEndpoint[]): void {
    const wanted = new Map(endpoints.map((placed) => [placed.endpoint.endpointId, placed]));
    for (const [endpointId, served] of this.served) {
      const placed = wanted.get(endpointId);
      if (placed === undefined || !served.isServing(placed)) {
        this.startDraining(endpointId, served);
      }
    }
    for (const [endpointId, placed] of wanted) {
      if (!this.served.has(endpointId)) {
        this.served.set(endpointId, ServedEndpoint.create(placed, this.options));
      }
    }
  }

  /** Accepts no more tasks and waits for the running ones. */
  async close(): Promise<void> {
    this.setEndpoints([]);
    await Promise.all(this.draining);
  }

  private startDraining(endpointId: string, served: ServedEndpoint): void {
    this.served.delete(endpointId);
    const drained = served.close();
    this.draining.add(drained);
    void drained.then(() => this.draining.delete(drained));
  }
}
