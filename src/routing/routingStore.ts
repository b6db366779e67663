/**
 * Holds the active routing configuration, which is never replaced by an older version.
 */
import { RouteTable } from './routeTable.js';
import type { Routing } from '../types/routing.js';

/** A routing configuration and the index of its routes by host and path. */
export interface ActiveRouting {
  readonly routing: Routing;
  readonly table: RouteTable;
}

export class RoutingStore {
  private active: ActiveRouting | undefined;

  private constructor() {
    // Built by create.
  }

  static create(): RoutingStore {
    return new RoutingStore();
  }

  /** The active configuration; undefined before the first. */
  get current(): ActiveRouting | undefined {
    return this.active;
  }

  /** Version of the active configuration, or -1 before the first. */
  get version(): number {
    return this.active?.routing.version ?? -1;
  }

  /**
   * Activates a configuration if its version is higher than that of the active one.
   *
   * @param routing - the configuration
   * @returns whether it was activated
   */
  apply(routing: Routing): boolean {
    if (routing.version <= this.version) {
      return false;
    }
    this.active = { routing, table: RouteTable.create(routing.routes) };
    return true;
  }
}
