/** What was compared to decide on a small model's answer; worths are parts of the request's full worth. */
export interface CascadeDecision {
  /** Whether the answer is used. */
  readonly isUsed: boolean;
  /** How probable it is that the answer is good, 0 to 1. */
  readonly goodShare: number;
  /** Expected worth of using it now. */
  readonly worthNow: number;
  /** Expected worth of asking the largest model, less what that costs. */
  readonly worthLarge: number;
}
