/** What a response will tell about the speed of its runner. */
export interface SpeedExpectation {
  /** Expected time to the first event, or to the whole response, of a runner of nominal speed, in ms. */
  readonly expectedMs: number;
  /**
   * Weight of the sample; 1 moves the slowness of a runner without other samples half way. Waiting behind other
   * calls, a part that is perhaps not cached and a large spread of the work make a sample say less.
   */
  readonly weight: number;
}
