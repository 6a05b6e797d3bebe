/** Why a call can't be sent to any runner now. */
export interface CallRejection {
  /** A short fixed text, for callers, logs and metrics. */
  readonly reason: string;
  /** Time until the call could be accepted, in ms; absent if unknown. */
  readonly minRetryMs?: number;
}
