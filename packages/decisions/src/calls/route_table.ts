import type {CallRoute} from './call_route.js';

/** Finds the route of a request by host name and longest path prefix. */
export class RouteTable {
  private readonly routesByHost = new Map<string, CallRoute[]>();

  constructor(routes: readonly CallRoute[]) {
    for (const route of routes) {
      const known = this.routesByHost.get(route.hostName);
      if (known) known.push(route);
      else this.routesByHost.set(route.hostName, [route]);
    }
    for (const known of this.routesByHost.values())
      known.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  }

  /** @param target the request target as sent, with its query */
  find(hostHeader: string, target: string): CallRoute | undefined {
    const query = target.indexOf('?');
    const path = query < 0 ? target : target.slice(0, query);
    return this.routesByHost
      .get(toHostName(hostHeader))
      ?.find(route => path.startsWith(route.pathPrefix));
  }
}

function toHostName(hostHeader: string): string {
  return hostHeader.replace(/:\d*$/, '').toLowerCase();
}
