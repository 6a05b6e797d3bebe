/** What the configuration tells of a service's model engines. */
export interface EngineProfile {
  /** Requests that run at once on a runner. */
  readonly slots: number;
  /** Tokens that fit into a runner's memory. */
  readonly memoryTokens: number;
  /** What 1,000 tokens made cost, by model; tokens read count a quarter. */
  readonly costs: ReadonlyMap<string, number>;
}
