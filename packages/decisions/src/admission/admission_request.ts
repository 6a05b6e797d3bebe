/** A call that asks for capacity of a service. All times are on this host's clock, in ms. */
export interface AdmissionRequest {
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly workspace?: string;
  /** Until when a response, or its first event, has its full worth. */
  readonly targetAt: number;
  /** Until when the caller waits. */
  readonly deadlineAt: number;
  /** Expected work, in ms of slot time at nominal speed. */
  readonly workMs: number;
  /** Whether the caller already has a part of the response. */
  readonly isContinuation?: boolean;
  /** Whether the call only replaces a response that could be used. */
  readonly isImprovement?: boolean;
}
