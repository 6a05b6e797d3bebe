/**
 * Time before the limit at which a rollout is completed whatever still runs on the old version, in
 * ms: two calls to a store. Calls that old runners still have then are cut off. Until then the new
 * version can be observed under full traffic.
 */
const COMPLETION_MARGIN_MS = 600;
/** Maximum of this margin as a part of the rollout's duration. */
const MAX_COMPLETION_MARGIN_PART = 0.12;

/**
 * Time after the order at which a rollout that is not rolled back is completed at the latest, in ms.
 */
export function computeLatestCompletionMs(durationMs: number): number {
  return (
    durationMs -
    Math.min(COMPLETION_MARGIN_MS, durationMs * MAX_COMPLETION_MARGIN_PART)
  );
}
