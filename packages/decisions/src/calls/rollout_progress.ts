/** What the hosts together know about a rollout in progress. */
export interface RolloutProgress {
  /** Time since the order, in ms. */
  readonly elapsedMs: number;
  /** Time from the order to its limit, in ms. */
  readonly durationMs: number;
  /** Calls that reached the service since the order, whichever version they were sent to. */
  readonly sentAll: number;
  /** Those of them that were sent to the new version. */
  readonly sentFresh: number;
  /** Responses of the new version that neither failed nor were slow. */
  readonly goodFresh: number;
  /**
   * Call rate of the service, in calls per ms: the higher of the rates over the last seconds and
   * since the order.
   */
  readonly callsPerMs: number;
  /** The same for calls that are sent to the new version. */
  readonly freshPerMs: number;
  /** Whether all calls are already being shifted to the new version. */
  readonly isShiftingAll: boolean;
  /**
   * Whether the new version seems worse than the old one, or its responses do not exclude that yet,
   * although it has not been found bad.
   */
  readonly isSuspect: boolean;
  /**
   * Whether some host has known the order since it was made. Otherwise all hosts were restarted and
   * their counts are lost, so the fixed allowance may have been spent before.
   */
  readonly isSeen: boolean;
}
