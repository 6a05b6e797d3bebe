/** Why a request with enough crashes is held back between trials instead of being quarantined. */
export interface SuspicionReport {
  readonly fingerprint: string;
  /** Number of runners that crashed while they had it. */
  readonly crashes: number;
  readonly weight: number;
  /** Weight of the crashes at which no quarantined request was present. */
  readonly unexplainedWeight: number;
  readonly failedTrials: number;
  /** Time until this host may try it, in ms. */
  readonly remainingMs: number;
}
