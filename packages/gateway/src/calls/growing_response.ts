/** A response that is still growing and does not tell how long it will be. */
export interface GrowingResponse {
  /** Whether its runner has lately answered at least as many requests as it failed. */
  readonly isVouchedFor: () => boolean;
  /** Ends the response as failed, and releases what is held of it. */
  readonly giveUp: () => void;
}
