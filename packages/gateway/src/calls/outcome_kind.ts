/** How an attempt at a runner ended. */
const OutcomeKind = {
  /** The response was passed on completely, or is ready to be. */
  ANSWERED: 'answered',
  /** Nothing was sent, or the runner reports that it did not run the request. */
  NOT_RUN: 'not-run',
  /** The runner responded with a failure; it may have run the request. */
  RUNNER_ERROR: 'runner-error',
  /** The response was truncated, invalid or missing; the request may have run. */
  BROKEN: 'broken',
  /** The model's confidence is too low; the response was dropped. */
  LOW_CONFIDENCE: 'weak',
  /** The call ended first: by its time limit, its caller or the shutdown of this host. */
  CALL_ENDED: 'ended',
  /** Another run of the call delivered first: this one is no evidence on the runner. */
  SUPERSEDED: 'superseded',
  /** The call ended before anything was sent: it has not run, and is no evidence on the runner. */
  UNSENT: 'unsent',
} as const;
type OutcomeKind = (typeof OutcomeKind)[keyof typeof OutcomeKind];

export {OutcomeKind};
