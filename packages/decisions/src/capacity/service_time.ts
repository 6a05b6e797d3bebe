/** Learned time for which calls of a route occupy a slot of a plain runner of nominal speed. */
export interface ServiceTime {
  readonly meanMs: number;
  /** Geometric mean, in ms: the expected time in comparisons by ratio. */
  readonly medianMs: number;
  /** Variance of the logarithm. */
  readonly logVariance: number;
}
