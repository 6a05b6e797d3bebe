/** What was decided about a call that asked for capacity, and the figures behind it. Times are in ms. */
export interface AdmissionDecision {
  /** A call that is not sent has been sent to no runner and is not waiting any more. */
  readonly isSent: boolean;
  /** A short fixed text, for callers, logs and metrics. */
  readonly reason: string;
  readonly waitedMs: number;
  /** Wait that was expected when the call arrived. */
  readonly expectedWaitMs: number;
  /** Part of the service's capacity that this host takes, 0 to 1; 1 while capacity is not short. */
  readonly hostShare: number;
  /** Expected work of the call, in ms of slot time; without it no time is reserved for a retry. */
  readonly workMs?: number;
  /** Capacity of the service, in ms of slot time per ms; without it no time is reserved for a retry. */
  readonly capacityPerMs?: number;
  /** Capacity that is left beside the expected demand of all hosts, in ms of slot time per ms; negative in a shortage. */
  readonly sparePerMs: number;
  /** Age of the other hosts' demand; Infinity if there is none. */
  readonly peersAgeMs: number;
}
