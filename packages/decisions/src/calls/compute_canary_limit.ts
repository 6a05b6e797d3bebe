import type {ExposureBounds} from './exposure_bounds.js';
import {computeExposureLimit} from './compute_exposure_limit.js';
import type {RolloutProgress} from './rollout_progress.js';

/**
 * Calls that a version may get before anything is known about it: enough to detect one that fails
 * every third call.
 */
const INITIAL_CALLS = 12;
/**
 * Additional calls for each good response: the limit grows with each round of responses and stops
 * growing when they stop.
 */
const CALLS_PER_GOOD_RESPONSE = 3;
/**
 * Part of the exposure limit that is used in the canary phase; the rest is for shifting all calls
 * before the time limit.
 */
const CANARY_PART = 0.5;

/**
 * Limit on the total calls to the new version so far in its canary phase, by the evidence about it.
 */
export function computeCanaryLimit(
  bounds: ExposureBounds,
  {sentAll, goodFresh, isSeen}: RolloutProgress,
): number {
  const byEvidence = INITIAL_CALLS + CALLS_PER_GOOD_RESPONSE * goodFresh;
  const allowed = computeExposureLimit(bounds, sentAll, isSeen) * CANARY_PART;
  return Math.min(byEvidence, allowed);
}
