import type {CallRoute} from './call_route.js';
import {hashToFraction} from './hash_to_fraction.js';

/**
 * Chooses the service for a call by the route's weights; the same key always gets the same service.
 */
export function chooseService(route: CallRoute, key: string): string {
  const {targets} = route;
  const total = targets.reduce((sum, target) => sum + target.weight, 0);
  let remaining = hashToFraction(`${route.name}|${key}`) * total;
  for (const target of targets) {
    remaining -= target.weight;
    if (remaining < 0) return target.service;
  }
  return targets[0].service;
}
