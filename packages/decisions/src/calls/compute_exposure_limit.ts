import type {ExposureBounds} from './exposure_bounds.js';

/**
 * Part of the calls allowed besides that is used. The rest is for what hosts give before they hear of each other, and
 * for a place that is cut off, whose hosts count for themselves.
 */
const USED_FIXED_CALLS_PART = 0.7;

/**
 * Calls that the new version may have had, in all, once `sentAll` calls reached the service. As the bound is kept at each
 * moment by what was counted up to it, it also holds where counts are lost: those made since only add to them.
 */
export function computeExposureLimit(
  {share, calls}: ExposureBounds,
  sentAll: number,
  isSeen: boolean,
): number {
  return share * sentAll + (isSeen ? calls * USED_FIXED_CALLS_PART : 0);
}
