/** Parsed limit header of a response: how many requests the runner takes from all hosts together. */
export interface LimitHeader {
  /** Requests per second, at least 0; absent if the header is missing or invalid. */
  readonly perSecond?: number;
  /** The value of an invalid header, truncated for the log. */
  readonly malformed?: string;
}
