/** What the platform says of runners that have just started and are still slow. */
export interface ColdLimits {
  /** Calls that such a runner bears in a second. */
  readonly perSecond: number;
  /** Calls that all hosts together may send it in any second at most: this many times what it bears, */
  readonly overage: number;
  /** and so many besides. */
  readonly slack: number;
}
