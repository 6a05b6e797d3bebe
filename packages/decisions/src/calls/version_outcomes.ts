/** Outcomes of calls to one version, summed over routes and hosts. */
export interface VersionOutcomes {
  /** Completed responses and attempts. */
  readonly ended: number;
  /** Those that failed: runner errors, and broken or silent responses. */
  readonly failed: number;
  /** Those of the failed ones that did not arrive whole: connections that ended, garbled responses and silence; none if absent. */
  readonly lost?: number;
  /** Those much slower than the other version is on the same route and model. */
  readonly slow: number;
}
