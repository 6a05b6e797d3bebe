/** Measured and expected durations of an attempt. */
export interface AttemptTiming {
  /** Time to the first bytes of a stream, or to the complete response, in ms. */
  readonly latencyMs?: number;
  /** Mean time between two events, in ms; undefined if there were too few. */
  readonly eventIntervalMs?: number;
  /** Number of events of the response. */
  readonly eventCount?: number;
  /** Total duration of the attempt, in ms. */
  readonly durationMs: number;
  readonly expectedLatencyMs: number;
  /** Whether the runner had little other prefill work queued. */
  readonly isUnloaded: boolean;
  /** Whether the choice of the runner was limited to few runners, so that these run at the usual load. */
  readonly isConcentrated: boolean;
  /** Whether the runner had stopped sending on all connections. */
  readonly wasSilent: boolean;
}
