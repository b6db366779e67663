/**
 * Finds the route of a request by its host and the longest matching prefix of its path.
 */
import type { Route } from '../types/routing.js';

export class RouteTable {
  /** Routes by host in lower case, the longest path prefix first. */
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
   * Finds the route of a request.
   *
   * @param host - the host of the request, without its port; compared without regard to case
   * @param path - the path of the request
   * @returns the route, or undefined if none matches
   */
  find(host: string, path: string): Route | undefined {
    const ofHost = this.byHost.get(host.toLowerCase()) ?? [];
    return ofHost.find(({ pathPrefix }) => path.startsWith(pathPrefix));
  }
}
