/** How long calls take, or a part of them, as one host tells it to another. */
export interface DurationSummary {
  /** Mean of the logarithm of the durations in ms. */
  readonly logMean: number;
  /** Variance of that logarithm. */
  readonly logVariance: number;
  /** Longest recent duration, in ms. */
  readonly longestMs: number;
}
