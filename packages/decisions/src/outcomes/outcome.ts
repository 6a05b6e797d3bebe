/** Whether a request ran, as reported to its caller. */
const Outcome = {
  RAN: 'ran',
  /** Reported only when no runner can have started it. */
  NOT_RUN: 'not-run',
  UNKNOWN: 'unknown',
} as const;
type Outcome = (typeof Outcome)[keyof typeof Outcome];

export {Outcome};
