/**
 * The routing configuration in force; it never goes back to an older version.
 */
import { RouteTable } from './routeTable.js';
import type { Routing } from '../types/routing.js';

/** A configuration with its index by host and path. */
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

  get current(): ActiveRouting | undefined {
    return this.active;
  }

  /** @returns the version in force, or -1 before the first */
  get version(): number {
    return this.active?.routing.version ?? -1;
  }

  /**
   * Puts a configuration in force, if it is newer than the present one.
   *
   * @param routing - the configuration
   * @returns whether it is in force now and was not before
   */
  apply(routing: Routing): boolean {
    if (routing.version <= this.version) {
      return false;
    }
    this.active = { routing, table: RouteTable.create(routing.routes) };
    return true;
  }
}
