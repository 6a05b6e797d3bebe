/** An answer that the gateway makes itself. */
export interface LocalResponse {
  readonly status: number;
  readonly reason: string;
  /** When the caller should come back, in ms; only where the request has not run. */
  readonly retryAfterMs?: number;
}
