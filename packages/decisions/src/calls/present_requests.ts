/** The requests that a runner had when it ended, by fingerprint, as one or more hosts know it. */
export interface PresentRequests {
  /** Those that have not been answered since. */
  readonly unanswered: readonly string[];
  /** Those that have been answered since, by any runner. */
  readonly answered: readonly string[];
}
