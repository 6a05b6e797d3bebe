/** The outcome of a request, as its caller sees it. */
const CallOutcome = {
  IN_TIME: 'in time',
  /** Answered, but the first event or the whole response came after the latency target. */
  LATE: 'late',
  /** Rejected before it was sent to a runner. */
  REFUSED: 'refused',
  FAILED: 'failed',
  /** Interrupted in the middle of its response. */
  CUT: 'cut',
  /** The caller disconnected before the end. */
  LEFT: 'left',
} as const;
type CallOutcome = (typeof CallOutcome)[keyof typeof CallOutcome];

export {CallOutcome};
