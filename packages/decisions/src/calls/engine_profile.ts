/** Configured properties of a service's model engines. */
export interface EngineProfile {
  /** Requests that a runner processes at the same time. */
  readonly slots: number;
  /** Tokens that fit into the memory of a runner. */
  readonly memoryTokens: number;
  /** Cost of 1,000 generated tokens, by model; a prompt token counts a quarter. */
  readonly costs: ReadonlyMap<string, number>;
}
