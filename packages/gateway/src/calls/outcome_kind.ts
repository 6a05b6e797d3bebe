/** How an attempt at a runner ended. */
const OutcomeKind = {
  /** The answer was passed on whole, or is ready to be. */
  ANSWERED: 'answered',
  /** Nothing was sent, or the runner says that it did not run the request. */
  NOT_RUN: 'not-run',
  /** The runner answered that it failed; it may have run the request. */
  RUNNER_ERROR: 'runner-error',
  /** The answer broke off, was spoiled or did not come; the request may have run. */
  BROKEN: 'broken',
  /** The model's confidence is too low; the answer was dropped. */
  LOW_CONFIDENCE: 'weak',
  /** The call ended first: its time limit, its caller or this host. */
  CALL_ENDED: 'ended',
  /** The call ended before anything was sent: it has not run, and says nothing of the runner. */
  UNSENT: 'unsent',
} as const;
type OutcomeKind = (typeof OutcomeKind)[keyof typeof OutcomeKind];

export {OutcomeKind};
