/** What a host may send to a runner of what all hosts together may. */
export interface HostShare {
  /** Calls in any window, a whole number. */
  readonly calls: number;
  readonly windowMs: number;
  /** Least time between two of them, in ms. */
  readonly minIntervalMs: number;
}
