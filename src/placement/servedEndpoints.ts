/**
 * The endpoints that this daemon dispatches to, and those that only finish what they run.
 */
import type { PlacedEndpoint } from '../inventory/inventoryIndex.js';
import { ServedEndpoint } from './servedEndpoint.js';
import type { ServedEndpointOptions } from './servedEndpoint.js';

export class ServedEndpoints {
  private readonly served = new Map<string, ServedEndpoint>();
  private readonly draining = new Set<Promise<void>>();

  private constructor(private readonly options: ServedEndpointOptions) {}

  static create(options: ServedEndpointOptions): ServedEndpoints {
    return new ServedEndpoints(options);
  }

  /** Sets the endpoints; others get no more tasks. */
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

  /** Takes no more tasks, and waits for those that run. */
  async close(): Promise<void> {
    this.setEndpoints([]);
    await Promise.all(this.draining);
  }

  private startDraining(endpointId: string, served: ServedEndpoint): void {
    this.served.delete(endpointId);
    const closed = served.close();
    this.draining.add(closed);
    void closed.then(() => this.draining.delete(closed));
  }
}
