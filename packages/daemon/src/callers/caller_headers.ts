/** Headers of requests from and responses to callers, in lower case. */
export const callerHeaders = {
  authorization: 'authorization',
  idempotencyKey: 'idempotency-key',
  task: 'bayspool-task',
  session: 'bayspool-session',
  deadline: 'bayspool-deadline-ms',
  requestId: 'bayspool-request-id',
  outcome: 'bayspool-outcome',
  version: 'bayspool-version',
  /** Tells standard OpenAI clients whether they may retry the request by themselves. */
  shouldRetry: 'x-should-retry',
  retryAfter: 'retry-after',
} as const;
