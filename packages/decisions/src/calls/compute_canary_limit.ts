import type {ExposureBounds} from './exposure_bounds.js';
import {computeExposureLimit} from './compute_exposure_limit.js';
import type {RolloutProgress} from './rollout_progress.js';

/** Calls that a version of which nothing is known may get: enough to see one that fails every third call. */
const INITIAL_CALLS = 12;
/** Further calls for each good answer: what it may get grows with each round of answers, and stops when they do. */
const CALLS_PER_GOOD_ANSWER = 3;
/** Part of what is allowed in all that is used to watch it; the rest is for moving all calls before the limit. */
const CANARY_PART = 0.5;

/** Calls that the new version may have had by now while it is watched, by what is known of it. */
export function computeCanaryLimit(
  bounds: ExposureBounds,
  {sentAll, goodFresh, isSeen}: RolloutProgress,
): number {
  const byEvidence = INITIAL_CALLS + CALLS_PER_GOOD_ANSWER * goodFresh;
  const allowed = computeExposureLimit(bounds, sentAll, isSeen) * CANARY_PART;
  return Math.min(byEvidence, allowed);
}
