/** Minimum number of events for a meaningful mean interval: fewer may have arrived in one chunk. */
const MIN_EVENTS = 4;

/** Computes the mean time between two events of a response, in ms; undefined if there were too few. */
export function computeEventIntervalMs(
  durationMs: number,
  latencyMs: number | undefined,
  eventCount: number,
): number | undefined {
  if (latencyMs === undefined || eventCount < MIN_EVENTS) return undefined;
  return (durationMs - latencyMs) / (eventCount - 1);
}
