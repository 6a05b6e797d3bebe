import type {ExposureBounds} from './exposure_bounds.js';
import {finalExposureLimit} from './final_exposure_limit.js';
import type {RolloutFacts} from './rollout_facts.js';

/** Part of the time limit before which the version is watched, whatever is known of it by then. */
const WATCHED_PART = 0.62;
/** Good answers without which it is not moved to before its limit. */
const MIN_GOOD = 6;
/**
 * How much faster than now calls may come until the limit without getting it more than it may have: sessions that have moved
 * stay, so nothing else holds their calls back.
 */
const SURGE_TIMES = 2.5;

/**
 * Whether all calls may move to the new version now. No answer up to now shows that the next ones will be good: a fault may
 * come late, or under a load that did not come yet. So all are moved only when the calls up to the limit are no more than a bad
 * version may get too.
 */
export function mayMoveAll(
  bounds: ExposureBounds,
  facts: RolloutFacts,
): boolean {
  const {elapsedMs, durationMs, callsPerMs, sentFresh} = facts;
  if (facts.isSuspect || facts.goodFresh < MIN_GOOD) return false;
  if (elapsedMs < durationMs * WATCHED_PART) return false;
  const toCome = callsPerMs * Math.max(0, durationMs - elapsedMs);
  const left = finalExposureLimit(bounds, facts) - sentFresh;
  return toCome * SURGE_TIMES <= left;
}
