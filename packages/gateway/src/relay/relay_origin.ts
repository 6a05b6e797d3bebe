/** What the relaying host states of a call. */
export interface RelayOrigin {
  /** Name of the relaying host. */
  readonly host: string;
  /** How often the call may be sent to runners. */
  readonly attempts: number;
  /** Whether the relaying host has counted the call in its retry budget. */
  readonly isCounted: boolean;
}
