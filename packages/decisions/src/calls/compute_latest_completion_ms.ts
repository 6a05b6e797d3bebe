/**
 * Time before the limit at which a roll-out is complete whatever still runs on the old version, in ms: two calls to a
 * store. What the old runners still do then is broken off; and what the new version shows under all calls is seen up to then.
 */
const COMPLETION_MARGIN_MS = 600;
/** Part of the duration that this is at most. */
const MAX_COMPLETION_MARGIN_PART = 0.12;

/** Time after the order at which a roll-out that is not taken back is complete at the latest, in ms. */
export function computeLatestCompletionMs(durationMs: number): number {
  return (
    durationMs -
    Math.min(COMPLETION_MARGIN_MS, durationMs * MAX_COMPLETION_MARGIN_PART)
  );
}
