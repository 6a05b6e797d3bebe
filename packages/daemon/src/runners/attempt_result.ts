/** The result of one attempt, as it counts for the runner's health and concurrency limit. */
const AttemptResult = {
  OK: 'ok',
  FAILED: 'failed',
  BUSY: 'busy',
  CANCELLED: 'cancelled',
} as const;
type AttemptResult = (typeof AttemptResult)[keyof typeof AttemptResult];

export {AttemptResult};
