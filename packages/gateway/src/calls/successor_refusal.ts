/** Why a call gets no further attempt; the texts appear in logs and metrics. */
const SuccessorRefusal = {
  NO_TIME_LEFT: 'no time left',
  HOST_STOPPING: 'host is stopping',
  NOT_REPEATABLE: 'not repeatable',
  NO_ATTEMPT_LEFT: 'no attempt left',
  QUARANTINED: 'request quarantined',
  NO_OTHER_RUNNER: 'no other runner',
  BUDGET_SPENT: 'retry budget is spent',
} as const;
type SuccessorRefusal =
  (typeof SuccessorRefusal)[keyof typeof SuccessorRefusal];

export {SuccessorRefusal};
