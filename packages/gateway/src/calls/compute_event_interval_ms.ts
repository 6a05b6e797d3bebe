/** Events of which the mean time between two tells how fast they come: fewer may have come in one piece. */
const MIN_EVENTS = 4;

/** Time from one event of an answer to the next on average, in ms; undefined if there were too few. */
export function computeEventIntervalMs(
  forMs: number,
  firstMs: number | undefined,
  events: number,
): number | undefined {
  if (firstMs === undefined || events < MIN_EVENTS) return undefined;
  return (forMs - firstMs) / (events - 1);
}
