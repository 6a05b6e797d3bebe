import type {ExposureBounds} from './exposure_bounds.js';
import {estimateFinalExposureLimit} from './estimate_final_exposure_limit.js';
import type {RolloutProgress} from './rollout_progress.js';

/**
 * Part of the time limit that the canary phase lasts at least, whatever is known about the version
 * by then.
 */
const MIN_CANARY_PART = 0.62;
/** Good responses required before all calls may be shifted. */
const MIN_GOOD_RESPONSES = 6;
/**
 * Rise of the call rate until the limit that must not push the new version over its bound. Sessions
 * that have moved stay on it, so nothing else holds their calls back.
 */
const SURGE_FACTOR = 2.5;

/**
 * Whether all calls may be shifted to the new version now. Good responses so far do not prove that
 * the next ones will be good, as a fault may show up late or only under higher load. So all calls
 * are shifted only when the calls up to the limit are no more than even a bad version may get.
 */
export function canShiftAllCalls(
  bounds: ExposureBounds,
  progress: RolloutProgress,
): boolean {
  const {elapsedMs, durationMs, callsPerMs, sentFresh} = progress;
  if (progress.isSuspect || progress.goodFresh < MIN_GOOD_RESPONSES)
    return false;
  if (elapsedMs < durationMs * MIN_CANARY_PART) return false;
  const expectedCalls = callsPerMs * Math.max(0, durationMs - elapsedMs);
  const remainingCalls =
    estimateFinalExposureLimit(bounds, progress) - sentFresh;
  return expectedCalls * SURGE_FACTOR <= remainingCalls;
}
