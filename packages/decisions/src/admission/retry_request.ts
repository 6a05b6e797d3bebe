/** A rejected call for which a time to retry is wanted. */
export interface RetryRequest {
  /** Expected work of the call, in ms of slot time. */
  readonly workMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Time until the caller's deadline, in ms. */
  readonly remainingMs: number;
  /** Wait that the call would have now, in ms; Infinity if it would never be sent. */
  readonly expectedWaitMs: number;
  /** Capacity of the service, in ms of slot time per ms. */
  readonly capacityPerMs: number;
  /** Capacity that is left beside the present demand of all hosts, in ms of slot time per ms; may be negative. */
  readonly sparePerMs: number;
  /** Part of the capacity that this host takes, 0 to 1. */
  readonly hostShare: number;
}
