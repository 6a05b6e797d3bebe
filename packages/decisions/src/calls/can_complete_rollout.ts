import type {ExposureBounds} from './exposure_bounds.js';
import {estimateFinalExposureLimit} from './estimate_final_exposure_limit.js';
import {computeLatestCompletionMs} from './compute_latest_completion_ms.js';
import type {RolloutProgress} from './rollout_progress.js';

/** Part of the duration before which no roll-out is complete: until then a fault may show that comes late. */
const EARLIEST_COMPLETION_PART = 0.77;
/** How much faster than now calls may come afterwards, when nothing can hold them back from the new version any more. */
const SURGE_FACTOR = 2.5;
/** The same shortly before the limit, for what other hosts gave and did not tell yet. */
const UNREPORTED_CALLS_FACTOR = 1.2;
/** Time before the limit at which it is complete also if more comes up to the limit, in ms: one call to a store. */
const FORCED_COMPLETION_MS = 300;

/**
 * Whether a roll-out may be complete. All calls go to the new version then, and the old runners are stopped, so it waits for
 * these to have nothing left, and until what comes up to the limit is no more than a bad version may get too.
 *
 * @param oldRunning calls that still run on the old version
 */
export function canCompleteRollout(
  bounds: ExposureBounds,
  facts: RolloutProgress,
  oldRunning: number,
): boolean {
  const {elapsedMs, durationMs, isSuspect, isMovingAll} = facts;
  if (isSuspect) return false;
  if (elapsedMs >= durationMs - FORCED_COMPLETION_MS) return true;
  if (elapsedMs >= computeLatestCompletionMs(durationMs))
    return staysWithinLimit(bounds, facts, UNREPORTED_CALLS_FACTOR);
  if (!isMovingAll || oldRunning > 0) return false;
  if (elapsedMs < durationMs * EARLIEST_COMPLETION_PART) return false;
  return staysWithinLimit(bounds, facts, SURGE_FACTOR);
}

/** Whether the new version may get all calls up to the limit, if they come some times as fast as now. */
function staysWithinLimit(
  bounds: ExposureBounds,
  facts: RolloutProgress,
  times: number,
): boolean {
  const {elapsedMs, durationMs, callsPerMs, sentFresh} = facts;
  const toCome = callsPerMs * (durationMs - elapsedMs) * times;
  return sentFresh + toCome <= estimateFinalExposureLimit(bounds, facts);
}
