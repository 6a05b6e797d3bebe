import type {RandomSource} from '@bayspool/kernel';

/** Earliest time after which a refused caller comes back, in ms. */
const MIN_MS = 150;
/** Over how long refused callers are spread, in ms. */
const SPREAD_MS = 250;

/** When a refused caller should come back, spread so that not all come at once, in ms. */
export function chooseRetryAfter(random: RandomSource): number {
  return MIN_MS + random.next() * SPREAD_MS;
}
