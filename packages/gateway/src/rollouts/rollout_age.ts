/** Age of a rollout, and how the age was determined. */
export interface RolloutAge {
  /** Time since the order, in ms; 0 from a host that does not know the age. */
  readonly elapsedMs: number;
  /** Whether some host saw the order arrive; otherwise the age was computed from the wall clock. */
  readonly isSeen: boolean;
}
