/** A change of what this host knows of a runner's stated availability. */
export interface AvailabilityChange {
  /** Whether the runner is leaving. */
  readonly isLeaving?: boolean;
  /** Time for which the runner asked this host to send it nothing, in ms. */
  readonly restMs?: number;
  /** Whether the change came from another host and not from a response of the runner to this host. */
  readonly isFromPeer?: boolean;
  /** The header value of a response, if it is not a valid statement. */
  readonly malformed?: string;
}
