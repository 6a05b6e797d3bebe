/** An HTTP request to a runner. */
export interface RunnerRequest {
  readonly method: string;
  readonly path: string;
  /** Alternating names and values, including the content length. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}
