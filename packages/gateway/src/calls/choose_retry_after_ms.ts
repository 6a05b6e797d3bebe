import type {RandomSource} from '@bayspool/kernel';

/** Earliest time after which a refused caller comes back, in ms. */
const MIN_RETRY_MS = 150;
/** Over how long refused callers are spread, in ms. */
const MAX_JITTER_MS = 250;

/**
 * When a refused caller should come back, spread so that not all come at once, in ms.
 *
 * @param leastMs time before which it would only be refused again, in ms
 */
export function chooseRetryAfterMs(random: RandomSource, leastMs = 0): number {
  return Math.max(MIN_RETRY_MS, leastMs) + random.next() * MAX_JITTER_MS;
}
