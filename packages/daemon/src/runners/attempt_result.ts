/** How a dispatched request ended, as far as the runner is concerned. */
const AttemptResult = {
  OK: 'ok',
  FAILED: 'failed',
  BUSY: 'busy',
  CANCELLED: 'cancelled',
} as const;
type AttemptResult = (typeof AttemptResult)[keyof typeof AttemptResult];

export {AttemptResult};
