/** The platform's store of model weights, which serves a limited rate of loads. */
export interface WeightStore {
  /** Returns the number of loads that may start per minute, over all places. */
  loadsPerMinute(signal?: AbortSignal): Promise<number>;
}
