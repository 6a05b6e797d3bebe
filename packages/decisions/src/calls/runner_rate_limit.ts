/**
 * Rate that a runner accepts from all hosts together, with the tolerance of the bound per window.
 */
export interface RunnerRateLimit {
  /** Calls per second that the runner can handle. */
  readonly perSecond: number;
  /** Factor on the rate that a window may reach. */
  readonly overage: number;
  /** Calls allowed per window on top of that. */
  readonly slack: number;
  readonly windowMs: number;
}
