/** How a request ended, as its caller sees it. */
const CallOutcome = {
  IN_TIME: 'in time',
  /** Answered, the first event or the whole answer after the latency target. */
  LATE: 'late',
  /** Refused before any runner was asked. */
  REFUSED: 'refused',
  FAILED: 'failed',
  /** Broken off in the middle of its answer. */
  CUT: 'cut',
  /** The caller left first. */
  LEFT: 'left',
} as const;
type CallOutcome = (typeof CallOutcome)[keyof typeof CallOutcome];

export {CallOutcome};
