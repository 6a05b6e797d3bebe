/** How what is believed of a runner's limit has changed. */
export interface LimitChange {
  /** Requests a second; absent if the runner names no limit any more. */
  readonly perSecond?: number;
  readonly previous?: number;
  /** Whether another host told it, rather than an answer of the runner to this one. */
  readonly isFromPeer?: boolean;
  /** Time since the answer that says so, in ms. */
  readonly ageMs: number;
  /** Text of an answer that made no sense as a limit. */
  readonly malformed?: string;
}
