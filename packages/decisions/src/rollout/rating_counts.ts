/** Ratings of one version's answers in one stage of its life. */
export interface RatingCounts {
  readonly good: number;
  readonly bad: number;
  /** Answers out without a rating. */
  readonly open: number;
}
