import type {AdmissionDecision} from '@bayspool/decisions/admission';

/** Why a call can't be sent to any runner now. */
export interface CallRejection {
  /** A short fixed text, for callers, logs and metrics. */
  readonly reason: string;
  /** Time until the call could be accepted, in ms; absent if unknown. */
  readonly minRetryMs?: number;
  /** Time after which the caller should try again, in ms, if that is decided. */
  readonly retryAfterMs?: number;
  /** The decision behind a rejection for want of capacity; absent for other reasons. */
  readonly admission?: AdmissionDecision;
}
