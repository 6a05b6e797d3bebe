/** The rating of one answer. */
export interface RatingResult {
  /** Sequence number; grows with each result for the same host. */
  readonly position: number;
  readonly requestId: string;
  readonly good: boolean;
}
