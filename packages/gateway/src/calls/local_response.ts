/** A response that the gateway generates itself. */
export interface LocalResponse {
  readonly status: number;
  readonly reason: string;
  /** Time after which the caller should try again, in ms; only if the request has not run. */
  readonly retryAfterMs?: number;
}
