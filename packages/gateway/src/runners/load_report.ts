/** Load that a runner reports with a response. */
export interface LoadReport {
  /** Requests that are running. */
  readonly running: number;
  /** Requests that are waiting: on an engine, those whose prefill is not done. */
  readonly waiting: number;
  /** How long work takes on the runner's machine now, relative to the usual time; absent if it doesn't say. */
  readonly slowness?: number;
}
