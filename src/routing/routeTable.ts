/**
 * Finds the route of a request by its host and the longest prefix of its path.
 */
import type { Route } from '../types/routing.js';

export class RouteTable {
  private readonly byHost = new Map<string, Route[]>();

  private constructor(routes: readonly Route[]) {
    for (const route of routes) {
      const host = route.host.toLowerCase();
      const ofHost = this.byHost.get(host) ?? [];
      ofHost.push(route);
      this.byHost.set(host, ofHost);
    }
    for (const ofHost of this.byHost.values()) {
      ofHost.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
  }

  static create(routes: readonly Route[]): RouteTable {
    return new RouteTable(routes);
  }

  /**
   * Finds a route.
   *
   * @param host - the host that the request names, without its port
   * @param path - the path of the request
   */
  find(host: string, path: string): Route | undefined {
    const ofHost = this.byHost.get(host.toLowerCase()) ?? [];
    return ofHost.find(({ pathPrefix }) => path.startsWith(pathPrefix));
  }
}
