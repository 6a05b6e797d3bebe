/** What the plan of a cascade depends on, besides its candidates. */
export interface CascadeRequest {
  /** The part of answers that must be rated good. */
  readonly quality: number;
  /** Time until the deadline, in ms. */
  readonly remainingMs: number;
  /** How long a rating is waited for, in ms. */
  readonly ratingWaitMs: number;
  /** Whether the answer can be held until it is rated. */
  readonly canHoldAnswer: boolean;
  readonly now: number;
}
