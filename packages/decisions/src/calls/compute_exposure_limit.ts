import type {ExposureBounds} from './exposure_bounds.js';

/**
 * Part of the fixed allowance that is used. The rest covers calls that hosts send before they
 * receive each other's counts, and a partitioned place whose hosts count on their own.
 */
const USED_FIXED_CALLS_PART = 0.7;

/**
 * Limit on the total calls to the new version after `sentAll` calls to the service. The bound is
 * kept at every moment by the calls counted so far, so it also holds if counts are lost: calls made
 * since then only raise it.
 */
export function computeExposureLimit(
  {share, calls}: ExposureBounds,
  sentAll: number,
  isSeen: boolean,
): number {
  return share * sentAll + (isSeen ? calls * USED_FIXED_CALLS_PART : 0);
}
