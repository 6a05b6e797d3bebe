/** What a request takes up at a runner until it ends. */
export interface HeldWork {
  /** Expected slot time at nominal speed, in ms; 0 for requests with a prompt. */
  readonly slotMs: number;
  /** Expected memory of the engine, in tokens; 0 without a prompt. */
  readonly memoryTokens: number;
}
