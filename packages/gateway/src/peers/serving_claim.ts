/** What one host stated last of one matter: that callers are taken, by itself or by a further host. */
export interface ServingClaim {
  /** Until when it holds, on this host's clock; -Infinity if it is not claimed. */
  readonly until: number;
  /** When this host last read that it is not so; -Infinity if it never did. */
  readonly withdrawnAt: number;
}
