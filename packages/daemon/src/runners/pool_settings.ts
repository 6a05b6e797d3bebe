/** Limits and timeouts of a pool. Durations are in ms. */
export interface PoolSettings {
  /** Assumed number of concurrent requests of a runner that has not reported its slots. */
  readonly defaultSlots: number;
  /** Older load reports are ignored. */
  readonly maxReportAgeMs: number;
  /** How many requests of one priority class may be queued. */
  readonly maxQueuedPerClass: number;
  /** The largest share of the runners of one version that may be ejected at once. */
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
