import type {ExposureBounds} from './exposure_bounds.js';
import {computeExposureLimit} from './compute_exposure_limit.js';
import type {RolloutProgress} from './rollout_progress.js';

/** Part of the calls that are to come at the present rate which is relied on: they may come slower again. */
const EXPECTED_CALLS_PART = 0.5;

/** Calls that the new version may have had by the time limit, in all, if calls come as fast as they do now. */
export function estimateFinalExposureLimit(
  bounds: ExposureBounds,
  {sentAll, callsPerMs, durationMs, elapsedMs, isSeen}: RolloutProgress,
): number {
  const toCome = callsPerMs * Math.max(0, durationMs - elapsedMs);
  return computeExposureLimit(
    bounds,
    sentAll + toCome * EXPECTED_CALLS_PART,
    isSeen,
  );
}
