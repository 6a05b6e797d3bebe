/** Status and headers of a streamed response, sent to the caller before the first event. */
export interface ResponseHead {
  readonly status: number;
  readonly statusText: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
}
