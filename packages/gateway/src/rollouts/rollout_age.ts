/** How long ago a roll-out was ordered, and how that is known. */
export interface RolloutAge {
  /** Time since the order, in ms; 0 from a host that does not know it. */
  readonly elapsedMs: number;
  /** Whether some host saw the order arrive; else the time was worked out from a time of day. */
  readonly isSeen: boolean;
}
