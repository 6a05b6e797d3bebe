/** Outcomes of calls to one version, summed over routes and hosts. */
export interface VersionOutcomes {
  /** Completed responses and attempts. */
  readonly ended: number;
  /** Those that failed: runner errors, and broken or silent responses. */
  readonly failed: number;
  /** Those much slower than the other version is on the same route and model. */
  readonly slow: number;
}
