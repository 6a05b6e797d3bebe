/** Bounds of a pool. Times are in ms. */
export interface PoolSettings {
  /** Requests that a runner is taken to serve at once while it does not say. */
  readonly defaultSlots: number;
  /** An older report is not used. */
  readonly maxReportAgeMs: number;
  /** Requests of one class that may wait. */
  readonly maxQueuedPerClass: number;
  /** No more than this part of the runners of a place is kept out by ejection. */
  readonly maxEjectedShare: number;
  readonly health: {
    readonly maxFailures: number;
    readonly ejectionMs: number;
    readonly maxEjectionMs: number;
    readonly slowStartMs: number;
  };
  readonly limit: {
    readonly initial: number;
    readonly min: number;
    readonly max: number;
  };
  readonly prefixes: {readonly maxAgeMs: number; readonly maxPrefixes: number};
}
