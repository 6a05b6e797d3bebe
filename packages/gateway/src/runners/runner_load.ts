/** The load and the outcomes of one host, or the sum over several, at a runner. */
export interface RunnerLoad {
  /** Requests in flight. */
  readonly running: number;
  /** Expected prefill time of requests that have no first event yet, in ms. */
  readonly pendingMs: number;
  /** Weights of successful and failed outcomes; they decay with age. */
  readonly ok: number;
  readonly failed: number;
}
