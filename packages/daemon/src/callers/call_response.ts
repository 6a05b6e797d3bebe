/** The response to a call. A body that is not a buffer is streamed to the caller. */
export interface CallResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer | AsyncIterable<string | Buffer>;
}
