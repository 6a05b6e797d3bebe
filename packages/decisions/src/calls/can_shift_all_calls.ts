import type {ExposureBounds} from './exposure_bounds.js';
import {estimateFinalExposureLimit} from './estimate_final_exposure_limit.js';
import type {RolloutProgress} from './rollout_progress.js';

/** Part of the time limit before which the version is watched, whatever is known of it by then. */
const MIN_CANARY_PART = 0.62;
/** Good answers without which it is not moved to before its limit. */
const MIN_GOOD_ANSWERS = 6;
/**
 * How much faster than now calls may come until the limit without getting it more than it may have: sessions that have moved
 * stay, so nothing else holds their calls back.
 */
const SURGE_FACTOR = 2.5;

/**
 * Whether all calls may move to the new version now. No answer up to now shows that the next ones will be good: a fault may
 * come late, or under a load that did not come yet. So all are moved only when the calls up to the limit are no more than a bad
 * version may get too.
 */
export function canShiftAllCalls(
  bounds: ExposureBounds,
  facts: RolloutProgress,
): boolean {
  const {elapsedMs, durationMs, callsPerMs, sentFresh} = facts;
  if (facts.isSuspect || facts.goodFresh < MIN_GOOD_ANSWERS) return false;
  if (elapsedMs < durationMs * MIN_CANARY_PART) return false;
  const toCome = callsPerMs * Math.max(0, durationMs - elapsedMs);
  const left = estimateFinalExposureLimit(bounds, facts) - sentFresh;
  return toCome * SURGE_FACTOR <= left;
}
