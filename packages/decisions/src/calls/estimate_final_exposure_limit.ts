import type {ExposureBounds} from './exposure_bounds.js';
import {computeExposureLimit} from './compute_exposure_limit.js';
import type {RolloutProgress} from './rollout_progress.js';

/**
 * Part of the calls expected at the current rate that is counted on, since the rate may drop again.
 */
const EXPECTED_CALLS_PART = 0.5;

/**
 * Estimates the limit on the total calls to the new version at the time limit, if calls keep coming
 * at the current rate.
 */
export function estimateFinalExposureLimit(
  bounds: ExposureBounds,
  {sentAll, callsPerMs, durationMs, elapsedMs, isSeen}: RolloutProgress,
): number {
  const expectedCalls = callsPerMs * Math.max(0, durationMs - elapsedMs);
  return computeExposureLimit(
    bounds,
    sentAll + expectedCalls * EXPECTED_CALLS_PART,
    isSeen,
  );
}
