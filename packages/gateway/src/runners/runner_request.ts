/** What is sent to a runner. */
export interface RunnerRequest {
  readonly method: string;
  readonly path: string;
  /** Names and values by turns, with the length of the body. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}
