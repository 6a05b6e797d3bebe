/** Forecast of asking the largest model now. */
export interface LargestModelForecast {
  /** Expected time to its first event, in ms. */
  readonly expectedMs: number;
  /** Engine time for processing the prompt, in ms. */
  readonly workMs: number;
  /**
   * Mean prompt processing time queued at a runner, over the shortest latency target of the
   * service.
   */
  readonly pressure: number;
}
