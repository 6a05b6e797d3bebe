import {
  PriorityClass,
  type Configuration,
  type Route,
} from '@bayspool/decisions';
import {getOwn, Problem, ProblemKind} from '@bayspool/kernel';

const SAFE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS']);

/**
 * Finds the configured route of a call: the one with the longest matching path. A call
 * without a route may be retried only when its method is safe.
 */
export function findServiceRoute(
  config: Configuration,
  service: string,
  method: string,
  path: string,
): Route {
  const definition = getOwn(config.services, service);
  if (!definition) {
    throw new Problem({
      kind: ProblemKind.NOT_FOUND,
      what: `there is no service ${service}`,
      remedy: 'name a service that the operator configured',
    });
  }
  const [pathname] = path.split('?');
  const matching = definition.routes.filter(
    route => route.method === method && isPathPrefix(route.path, pathname),
  );
  const [best] = matching.sort((a, b) => b.path.length - a.path.length);
  return (
    best ?? {
      method: method as Route['method'],
      path: '/',
      priority: PriorityClass.INTERACTIVE,
      once: !SAFE_METHODS.has(method),
    }
  );
}

function isPathPrefix(prefix: string, path: string): boolean {
  return (
    path === prefix ||
    path.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`)
  );
}
