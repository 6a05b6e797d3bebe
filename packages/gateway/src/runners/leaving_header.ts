/** Parsed leaving header of a response: whether the runner will end soon and takes no new requests. */
export interface LeavingHeader {
  readonly isLeaving: boolean;
  /** The value of an invalid header, truncated for the log. */
  readonly malformed?: string;
}
