/** How a request is held back that runners had again and again when they crashed. */
export interface Probation {
  /** Until when no host sends it, on this host's clock. */
  readonly holdEnd: number;
  /** Time for which only the hosts whose turn it is may try it, in ms; then twice as many may. */
  readonly turnMs: number;
  /** Whether the wait is so short that its callers need not come again. */
  readonly isBrief: boolean;
}
