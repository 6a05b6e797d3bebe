import type {RandomSource} from '@bayspool/kernel';

/** Minimum time until a rejected caller tries again, in ms. */
const MIN_RETRY_MS = 150;
/** Maximum jitter added to the minimum, in ms. */
const MAX_JITTER_MS = 250;

/**
 * Chooses the time after which a rejected caller should try again, with jitter so that callers
 * don't return all at once, in ms.
 *
 * @param minRetryMs time until the call could be accepted, in ms
 */
export function chooseRetryAfterMs(
  random: RandomSource,
  minRetryMs = 0,
): number {
  return Math.max(MIN_RETRY_MS, minRetryMs) + random.next() * MAX_JITTER_MS;
}
