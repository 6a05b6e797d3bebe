/** Parsed header by which a runner states that it fails if it has to reject too many requests. */
export interface BrittleHeader {
  /** Rejections in a second above which the runner fails; undefined if it states none. */
  readonly perSecond?: number;
  /** The value of an invalid header, truncated for the log. */
  readonly malformed?: string;
}
