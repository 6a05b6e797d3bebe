/** The part of a bound that one host may send to a runner. */
export interface HostShare {
  /** Calls in any window; an integer. */
  readonly calls: number;
  readonly windowMs: number;
  /** Minimum time between two calls, in ms. */
  readonly minIntervalMs: number;
  /** Time until a share without calls is replaced by another one, in ms; unknown if absent. */
  readonly reopensInMs?: number;
}
