/** What a caller gets. A body that is not a buffer is passed on as it comes. */
export interface CallResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer | AsyncIterable<string | Buffer>;
}
