/** What callers got from one version, summed over routes and hosts. */
export interface VersionOutcomes {
  /** Answers and attempts that ended. */
  readonly ended: number;
  /** Those that failed: errors of the runner, broken or silent answers. */
  readonly failed: number;
  /** Those much slower than the other version is for the same route and model. */
  readonly slow: number;
}
