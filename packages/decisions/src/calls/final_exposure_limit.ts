import type {ExposureBounds} from './exposure_bounds.js';
import {exposureLimit} from './exposure_limit.js';
import type {RolloutFacts} from './rollout_facts.js';

/** Part of the calls that are to come at the present rate which is relied on: they may come slower again. */
const RELIED_ON = 0.5;

/** Calls that the new version may have had by the time limit, in all, if calls come as fast as they do now. */
export function finalExposureLimit(
  bounds: ExposureBounds,
  {sentAll, callsPerMs, durationMs, elapsedMs, isSeen}: RolloutFacts,
): number {
  const toCome = callsPerMs * Math.max(0, durationMs - elapsedMs);
  return exposureLimit(bounds, sentAll + toCome * RELIED_ON, isSeen);
}
