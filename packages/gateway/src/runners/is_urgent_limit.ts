/** Part of the limit before under which a smaller one cannot wait for the next exchange between hosts. */
const URGENT_RATIO = 0.5;

/** Whether hosts that believe in the limit before would soon send far too much; undefined stands for no limit. */
export function isUrgentLimit(
  perSecond: number | undefined,
  before: number | undefined,
): boolean {
  if (perSecond === undefined) return false;
  return before === undefined || perSecond < before * URGENT_RATIO;
}
