/** Limits on the size and duration of callers' requests. */
export interface CallLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Time within which all headers of a request have to arrive, in ms. */
  readonly headerTimeoutMs: number;
  /** Time after which an idle connection may be closed, in ms. */
  readonly idleTimeoutMs: number;
}
