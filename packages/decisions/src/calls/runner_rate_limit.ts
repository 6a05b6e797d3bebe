/** What all hosts together may send to a runner within a window. */
export interface RunnerRateLimit {
  /** Calls that it bears in a second. */
  readonly perSecond: number;
  /** Calls that it may get in a window at most: this many times what it bears, */
  readonly overage: number;
  /** and so many besides. */
  readonly slack: number;
  readonly windowMs: number;
}
