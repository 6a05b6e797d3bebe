/** A limit below this fraction of the previous one is sent to other hosts without waiting for the next exchange. */
const URGENT_RATIO = 0.5;

/** Whether hosts that still apply the previous limit would soon send far too much; undefined means no limit. */
export function isUrgentLimit(
  perSecond: number | undefined,
  previous: number | undefined,
): boolean {
  if (perSecond === undefined) return false;
  return previous === undefined || perSecond < previous * URGENT_RATIO;
}
