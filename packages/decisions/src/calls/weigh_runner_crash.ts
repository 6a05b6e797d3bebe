/** How far a request had come at a runner whose connection then broke off. */
interface InterruptedAttempt {
  /** Whether answers of its kind are streams: the head of one comes when its run begins. */
  readonly isStreamed: boolean;
  /** Whether the head of the answer had come. */
  readonly hasHead: boolean;
  /** Whether a piece of its body had come. */
  readonly hasBodyBytes: boolean;
  /** Time from the head of the answer to the end, in ms; 0 without a head. */
  readonly sinceHeadMs: number;
  /** Whether the runner had no other request then, as far as is known. */
  readonly isAlone: boolean;
}

/** A run that was begun and gave nothing, or the only one there: what a request looks like under which runners end. */
const CERTAIN_WEIGHT = 1;
/**
 * A run that may have been begun, beside others: whole answers give no sign before they are done. A request would have to be at
 * ten such ends, and is answered before if it only waits.
 */
const UNCERTAIN_WEIGHT = 0.3;
/** Time after its begin in which a run that has given pieces may still be what ended its runner, in ms. */
const EARLY_CRASH_MS = 500;

/**
 * How much the end of a runner speaks against a request that it had, 0 to 1. Counting all ends alike condemned requests
 * that only waited at the same runners: of 148 requests seen at ends that one of them caused, that one was begun and
 * had given nothing at 11 of 13, the others at one at most, while another one waited at five.
 */
export function weighRunnerCrash(run: InterruptedAttempt): number {
  const {
    isStreamed,
    hasHead,
    hasBodyBytes: hasPieces,
    sinceHeadMs,
    isAlone,
  } = run;
  if (!isStreamed)
    return hasHead ? 0 : isAlone ? CERTAIN_WEIGHT : UNCERTAIN_WEIGHT;
  if (!hasHead) return 0;
  if (!hasPieces) return CERTAIN_WEIGHT;
  return sinceHeadMs < EARLY_CRASH_MS ? UNCERTAIN_WEIGHT : 0;
}
