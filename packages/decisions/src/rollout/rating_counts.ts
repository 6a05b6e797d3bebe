/** Counts of the ratings of a version's answers in one stage of its lifecycle. */
export interface RatingCounts {
  readonly good: number;
  readonly bad: number;
  /** Answers that were given but not rated yet. */
  readonly open: number;
}
