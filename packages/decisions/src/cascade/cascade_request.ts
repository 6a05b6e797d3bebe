/** The properties of a request that its cascade plan depends on. */
export interface CascadeRequest {
  /** Fraction of answers that must be rated good. */
  readonly quality: number;
  /** Time until the deadline, in ms. */
  readonly remainingMs: number;
  /** Maximum time to wait for a rating, in ms. */
  readonly ratingWaitMs: number;
  /** Whether the answer can be held back until it is rated. */
  readonly canHoldAnswer: boolean;
  readonly now: number;
}
