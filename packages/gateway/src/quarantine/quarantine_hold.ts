/** Why and for how long a request is not sent to runners. */
export interface QuarantineHold {
  readonly reason: string;
  readonly remainingMs: number;
  /** Whether the call may wait for the end of it. */
  readonly isBrief?: boolean;
  /** Fingerprint of the prompt part that is held back; undefined if the whole request is. */
  readonly part?: string;
}
