/** State of an attempt when the connection to its runner broke. */
interface InterruptedAttempt {
  /**
   * Whether the response is streamed: the head of a streamed response arrives when its run starts.
   */
  readonly isStreamed: boolean;
  /** Whether the head of the response had arrived. */
  readonly hasHead: boolean;
  /** Whether any part of the body had arrived. */
  readonly hasBodyBytes: boolean;
  /** Time from the head of the response to the break, in ms; 0 without a head. */
  readonly sinceHeadMs: number;
  /** Whether the runner had no other request at the time, as far as is known. */
  readonly isAlone: boolean;
}

/**
 * Weight of a run that had started without output, or was the only one on its runner: the typical
 * picture of a request that crashes runners.
 */
const CERTAIN_WEIGHT = 1;
/**
 * Weight of a run that may have started, beside others: a response that is not streamed gives no
 * sign until it is done. It takes ten such crashes to quarantine a request, and one that only waits
 * is answered before that.
 */
const UNCERTAIN_WEIGHT = 0.3;
/**
 * Time after the start of a run within which it may still have crashed its runner although it
 * produced output, in ms.
 */
const EARLY_CRASH_MS = 500;

/**
 * Weighs how strongly a runner crash counts against a request that the runner had, 0 to 1. Counting
 * all crashes alike quarantined requests that only waited at the same runners. Of 148 requests seen
 * at crashes that one of them caused, that one had started without output at 11 of 13 crashes and
 * the others at one at most, while another one was waiting at five.
 */
export function weighRunnerCrash(attempt: InterruptedAttempt): number {
  const {isStreamed, hasHead, hasBodyBytes, sinceHeadMs, isAlone} = attempt;
  if (!isStreamed)
    return hasHead ? 0 : isAlone ? CERTAIN_WEIGHT : UNCERTAIN_WEIGHT;
  if (!hasHead) return 0;
  if (!hasBodyBytes) return CERTAIN_WEIGHT;
  return sinceHeadMs < EARLY_CRASH_MS ? UNCERTAIN_WEIGHT : 0;
}
