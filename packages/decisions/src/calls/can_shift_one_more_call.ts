import type {ExposureBounds} from './exposure_bounds.js';
import {estimateFinalExposureLimit} from './estimate_final_exposure_limit.js';
import {computeLatestCompletionMs} from './compute_latest_completion_ms.js';
import type {RolloutProgress} from './rollout_progress.js';

/** How much faster than in the last seconds calls may come once nothing holds them back. */
const SURGE_FACTOR = 1.2;

/**
 * Whether, while all calls move to the new version, one more call without a session may be put there. From the end of the
 * roll-out on all calls go there, so those up to the limit count before one more is given; it guards against calls that
 * come faster than when the move began.
 *
 * @param bounds this host's part of the bounds
 * @param own what this host itself counted: it is exact, where what others told is half a second old or more
 */
export function canShiftOneMoreCall(
  bounds: ExposureBounds,
  own: RolloutProgress,
): boolean {
  const {durationMs, elapsedMs, sentFresh, callsPerMs, freshPerMs} = own;
  const completeMs = computeLatestCompletionMs(durationMs);
  const untilCompleteMs = Math.max(0, completeMs - elapsedMs);
  const afterwardsMs = durationMs - completeMs;
  const afterwards = callsPerMs * afterwardsMs * SURGE_FACTOR;
  const toCome = freshPerMs * untilCompleteMs + afterwards;
  return sentFresh + 1 + toCome <= estimateFinalExposureLimit(bounds, own);
}
