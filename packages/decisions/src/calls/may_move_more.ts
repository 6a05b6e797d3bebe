import type {ExposureBounds} from './exposure_bounds.js';
import {finalExposureLimit} from './final_exposure_limit.js';
import {latestCompleteMs} from './latest_complete_ms.js';
import type {RolloutFacts} from './rollout_facts.js';

/** How much faster than in the last seconds calls may come once nothing holds them back. */
const SURGE_TIMES = 1.2;

/**
 * Whether, while all calls move to the new version, one more call without a session may be put there. From the end of the
 * roll-out on all calls go there, so those up to the limit count before one more is given; it guards against calls that
 * come faster than when the move began.
 *
 * @param bounds this host's part of the bounds
 * @param own what this host itself counted: it is exact, where what others told is half a second old or more
 */
export function mayMoveMore(
  bounds: ExposureBounds,
  own: RolloutFacts,
): boolean {
  const {durationMs, elapsedMs, sentFresh, callsPerMs, freshPerMs} = own;
  const completeMs = latestCompleteMs(durationMs);
  const untilCompleteMs = Math.max(0, completeMs - elapsedMs);
  const afterwardsMs = durationMs - completeMs;
  const afterwards = callsPerMs * afterwardsMs * SURGE_TIMES;
  const toCome = freshPerMs * untilCompleteMs + afterwards;
  return sentFresh + 1 + toCome <= finalExposureLimit(bounds, own);
}
