/** Why no runner may get a call now. */
export interface CallRefusal {
  /** A short fixed text, for callers, logs and metrics. */
  readonly reason: string;
  /** Time before which it would only be refused again, in ms; absent if that is not known. */
  readonly minRetryMs?: number;
}
