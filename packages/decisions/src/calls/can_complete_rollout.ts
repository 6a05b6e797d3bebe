import type {ExposureBounds} from './exposure_bounds.js';
import {estimateFinalExposureLimit} from './estimate_final_exposure_limit.js';
import {computeLatestCompletionMs} from './compute_latest_completion_ms.js';
import {mustEndRollout} from './must_end_rollout.js';
import type {RolloutProgress} from './rollout_progress.js';

/** Part of the duration before which no rollout is completed, as some faults show up late. */
const EARLIEST_COMPLETION_PART = 0.77;
/**
 * Rise of the call rate to allow for after an early completion, when no call can be kept from the
 * new version any more.
 */
const SURGE_FACTOR = 2.5;
/** The same shortly before the limit, for calls that other hosts have sent but not reported yet. */
const UNREPORTED_CALLS_FACTOR = 1.2;

/**
 * Whether a rollout may be completed. Completion sends all calls to the new version and stops the
 * old runners. So it waits until the old runners have nothing left and the calls up to the limit
 * stay within what even a bad version may get.
 *
 * @param oldRunning calls that still run on the old version
 */
export function canCompleteRollout(
  bounds: ExposureBounds,
  progress: RolloutProgress,
  oldRunning: number,
): boolean {
  const {elapsedMs, durationMs, isSuspect, isShiftingAll} = progress;
  if (isSuspect) return false;
  // Too late to keep the calls up to the limit within the bound by waiting.
  if (mustEndRollout(progress)) return true;
  if (elapsedMs >= computeLatestCompletionMs(durationMs))
    return staysWithinLimit(bounds, progress, UNREPORTED_CALLS_FACTOR);
  if (!isShiftingAll || oldRunning > 0) return false;
  if (elapsedMs < durationMs * EARLIEST_COMPLETION_PART) return false;
  return staysWithinLimit(bounds, progress, SURGE_FACTOR);
}

/** Whether the new version may get all calls up to the limit if their rate rises by a factor. */
function staysWithinLimit(
  bounds: ExposureBounds,
  progress: RolloutProgress,
  surgeFactor: number,
): boolean {
  const {elapsedMs, durationMs, callsPerMs, sentFresh} = progress;
  const expectedCalls = callsPerMs * (durationMs - elapsedMs) * surgeFactor;
  return (
    sentFresh + expectedCalls <= estimateFinalExposureLimit(bounds, progress)
  );
}
