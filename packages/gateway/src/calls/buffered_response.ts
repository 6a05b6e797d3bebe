/** A runner's response that was received completely. */
export interface BufferedResponse {
  readonly status: number;
  readonly statusText: string;
  /** Alternating names and values, including the content-length. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /**
   * Whether the end of the response was given only by the close of the connection; it is passed on
   * to the caller in the same way.
   */
  readonly isCloseDelimited: boolean;
}
