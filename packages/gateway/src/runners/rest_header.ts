/** Parsed rest header of a rejection: how long the runner wants no requests from this host. */
export interface RestHeader {
  /** In ms, over 0; absent if the header is missing or invalid. */
  readonly forMs?: number;
  /** The value of an invalid header, truncated for the log. */
  readonly malformed?: string;
}
