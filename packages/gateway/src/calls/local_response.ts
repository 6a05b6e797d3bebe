import type {RetryTime} from '@bayspool/decisions/admission';

/** A response that the gateway generates itself. */
export interface LocalResponse {
  readonly status: number;
  readonly reason: string;
  /** Time after which the caller should try again, in ms; only if the request has not run. */
  readonly retryAfterMs?: number;
  /** The figures behind that time, if the call was rejected for want of capacity. */
  readonly retryTime?: RetryTime;
}
