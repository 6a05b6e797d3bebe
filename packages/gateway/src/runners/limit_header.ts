/** What an answer says of how many requests its runner takes from all hosts together. */
export interface LimitHeader {
  /** Requests a second, at least 0; absent if the answer names no limit, or none that makes sense. */
  readonly perSecond?: number;
  /** What it says instead of a number that makes sense, cut to a length that logs can bear. */
  readonly malformed?: string;
}
