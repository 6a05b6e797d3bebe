import type {ExposureBounds} from './exposure_bounds.js';
import {exposureLimit} from './exposure_limit.js';
import type {RolloutFacts} from './rollout_facts.js';

/** Calls that a version of which nothing is known may get: enough to see one that fails every third call. */
const FIRST_CALLS = 12;
/** Further calls for each good answer: what it may get grows with each round of answers, and stops when they do. */
const CALLS_A_GOOD_ANSWER = 3;
/** Part of what is allowed in all that is used to watch it; the rest is for moving all calls before the limit. */
const WATCHED_PART = 0.5;

/** Calls that the new version may have had by now while it is watched, by what is known of it. */
export function watchedLimit(
  bounds: ExposureBounds,
  {sentAll, goodFresh, isSeen}: RolloutFacts,
): number {
  const byEvidence = FIRST_CALLS + CALLS_A_GOOD_ANSWER * goodFresh;
  const allowed = exposureLimit(bounds, sentAll, isSeen) * WATCHED_PART;
  return Math.min(byEvidence, allowed);
}
