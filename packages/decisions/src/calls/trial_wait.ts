/** Time until a host may send a copy of a request on probation. */
export interface TrialWait {
  /** In ms; 0 if it may now. */
  readonly ms: number;
  /** Whether it is so short that the callers need not come again. */
  readonly isBrief: boolean;
}
