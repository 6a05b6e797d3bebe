/** What hosts know together of a roll-out under way. */
export interface RolloutProgress {
  /** Time since the order, in ms. */
  readonly elapsedMs: number;
  /** Time from the order to its limit, in ms. */
  readonly durationMs: number;
  /** Calls that reached the service since the order, and those of them that the new version got. */
  readonly sentAll: number;
  readonly sentFresh: number;
  /** Answers of the new version that neither failed nor were slow. */
  readonly goodFresh: number;
  /** Rate of calls for the service, in calls a ms; the higher one of the last seconds and of all the time. */
  readonly callsPerMs: number;
  /** The same of calls that the new version gets. */
  readonly freshPerMs: number;
  /** Whether all calls are to go to the new version already. */
  readonly isMovingAll: boolean;
  /** Whether the new version seems worse than the old one, though it is not judged yet. */
  readonly isSuspect: boolean;
  /**
   * Whether some host has known of the order since it was made. Else all were started anew, and what they gave before
   * is forgotten: the calls that are allowed besides may have been given then.
   */
  readonly isSeen: boolean;
}
