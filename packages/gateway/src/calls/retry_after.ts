import type {RandomSource} from '@bayspool/kernel';

/** Earliest time after which a refused caller comes back, in ms. */
const MIN_MS = 150;
/** Over how long refused callers are spread, in ms. */
const SPREAD_MS = 250;

/**
 * When a refused caller should come back, spread so that not all come at once, in ms.
 *
 * @param leastMs time before which it would only be refused again, in ms
 */
export function chooseRetryAfter(random: RandomSource, leastMs = 0): number {
  return Math.max(MIN_MS, leastMs) + random.next() * SPREAD_MS;
}
