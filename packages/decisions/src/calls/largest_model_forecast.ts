/** What asking the largest model would mean now. */
export interface LargestModelForecast {
  /** Expected time to its first event, in ms. */
  readonly expectedMs: number;
  /** Engine time that reading the prompt takes, in ms. */
  readonly workMs: number;
  /** Reading that waits at a runner on average, over the service's shortest latency target. */
  readonly pressure: number;
}
