/** Why a call is sent to another runner. */
const RetryPurpose = {
  /** A runner failed the call, of which the caller has received nothing. */
  FAILURE: 'failure',
  /** A runner failed the call, of which the caller has received a part and would lose the rest. */
  PARTIAL_RESPONSE: 'partial response',
  /** The call has a response, or a runner that works on it; another one may be better or faster. */
  IMPROVEMENT: 'improvement',
} as const;
type RetryPurpose = (typeof RetryPurpose)[keyof typeof RetryPurpose];

export {RetryPurpose};
