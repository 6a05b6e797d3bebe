import type {ExposureBounds} from './exposure_bounds.js';
import {finalExposureLimit} from './final_exposure_limit.js';
import {latestCompleteMs} from './latest_complete_ms.js';
import type {RolloutFacts} from './rollout_facts.js';

/** Part of the duration before which no roll-out is complete: until then a fault may show that comes late. */
const EARLIEST_PART = 0.77;
/** How much faster than now calls may come afterwards, when nothing can hold them back from the new version any more. */
const SURGE_TIMES = 2.5;
/** The same shortly before the limit, for what other hosts gave and did not tell yet. */
const UNHEARD_TIMES = 1.2;
/** Time before the limit at which it is complete also if more comes up to the limit, in ms: one call to a store. */
const LAST_MS = 300;

/**
 * Whether a roll-out may be complete. All calls go to the new version then, and the old runners are stopped, so it waits for
 * these to have nothing left, and until what comes up to the limit is no more than a bad version may get too.
 *
 * @param oldRunning calls that still run on the old version
 */
export function mayComplete(
  bounds: ExposureBounds,
  facts: RolloutFacts,
  oldRunning: number,
): boolean {
  const {elapsedMs, durationMs, isSuspect, isMovingAll} = facts;
  if (isSuspect) return false;
  if (elapsedMs >= durationMs - LAST_MS) return true;
  if (elapsedMs >= latestCompleteMs(durationMs))
    return fits(bounds, facts, UNHEARD_TIMES);
  if (!isMovingAll || oldRunning > 0) return false;
  if (elapsedMs < durationMs * EARLIEST_PART) return false;
  return fits(bounds, facts, SURGE_TIMES);
}

/** Whether the new version may get all calls up to the limit, if they come some times as fast as now. */
function fits(
  bounds: ExposureBounds,
  facts: RolloutFacts,
  times: number,
): boolean {
  const {elapsedMs, durationMs, callsPerMs, sentFresh} = facts;
  const toCome = callsPerMs * (durationMs - elapsedMs) * times;
  return sentFresh + toCome <= finalExposureLimit(bounds, facts);
}
