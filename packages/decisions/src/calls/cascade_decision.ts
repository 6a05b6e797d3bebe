/**
 * Result of evaluating a model's answer in a cascade. Worths are fractions of the request's full
 * worth.
 */
export interface CascadeDecision {
  /** Whether the answer is used. */
  readonly isUsed: boolean;
  /** Probability that the answer is good, 0 to 1. */
  readonly goodShare: number;
  /** Expected worth of using the answer now. */
  readonly worthNow: number;
  /** Expected worth of asking the largest model, less its cost. */
  readonly worthLarge: number;
}
