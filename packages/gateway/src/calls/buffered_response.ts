/** A runner's response that was received completely. */
export interface BufferedResponse {
  readonly status: number;
  readonly statusText: string;
  /** Alternating names and values, including the content-length. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}
