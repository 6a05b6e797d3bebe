import type {ExposureBounds} from './exposure_bounds.js';
import {estimateFinalExposureLimit} from './estimate_final_exposure_limit.js';
import {computeLatestCompletionMs} from './compute_latest_completion_ms.js';
import type {RolloutProgress} from './rollout_progress.js';

/**
 * Rise of the call rate over that of the last seconds to allow for once nothing holds calls back.
 */
const SURGE_FACTOR = 1.2;

/**
 * Whether one more call without a session may be sent to the new version while all calls are being
 * shifted. After the completion all calls go there, so the calls between completion and limit are
 * counted before one more is allowed. This covers a call rate that has risen since the shift began.
 *
 * @param bounds this host's part of the bounds
 * @param own counts of this host alone: they are exact, while those of other hosts are half a
 * second old or more
 */
export function canShiftOneMoreCall(
  bounds: ExposureBounds,
  own: RolloutProgress,
): boolean {
  const {durationMs, elapsedMs, sentFresh, callsPerMs, freshPerMs} = own;
  const completionMs = computeLatestCompletionMs(durationMs);
  const untilCompletionMs = Math.max(0, completionMs - elapsedMs);
  const afterCompletionMs = durationMs - completionMs;
  const callsAfterCompletion = callsPerMs * afterCompletionMs * SURGE_FACTOR;
  const expectedCalls = freshPerMs * untilCompletionMs + callsAfterCompletion;
  return (
    sentFresh + 1 + expectedCalls <= estimateFinalExposureLimit(bounds, own)
  );
}
