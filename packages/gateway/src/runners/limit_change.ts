/** A change of what this host knows of the limit that a runner declares. */
export interface LimitChange {
  /** Requests per second; absent if the runner no longer declares a limit. */
  readonly perSecond?: number;
  readonly previous?: number;
  /** Whether the change came from another host and not from a response of the runner to this host. */
  readonly isFromPeer?: boolean;
  /** Time since the response that the value comes from, in ms. */
  readonly ageMs: number;
  /** The header value of a response, if it is not a valid limit. */
  readonly malformed?: string;
}
