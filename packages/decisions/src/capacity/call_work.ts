/** What a call needs of a runner, estimated before one is chosen. */
export interface CallWork {
  /** Slot time of a plain runner, or prefill time of an engine, at nominal speed, in ms. */
  readonly workMs: number;
  /** Tokens that the response will probably have; 0 without a prompt. */
  readonly outputTokens: number;
  /** Memory of the engine that the call will take, in tokens; 0 without a prompt. */
  readonly memoryTokens: number;
}
