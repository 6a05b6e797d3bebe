/** Bounds on what a caller may send, and how long it may take. */
export interface CallLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Time for all headers of a request to arrive, in ms. */
  readonly headerTimeoutMs: number;
  /** Time after which a resting connection may be closed, in ms. */
  readonly idleTimeoutMs: number;
}
