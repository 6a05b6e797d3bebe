/** Measured and expected timing of one response, in ms; the response may be incomplete. */
export interface AnswerTimes {
  /** Time to the first byte. */
  readonly firstMs?: number;
  /** Time to the first byte expected from prompt, model and load; 0 if there is no estimate. */
  readonly expectedMs: number;
  /**
   * Whether the time to the first byte can be compared with that of other responses: its runner was warm, and had no
   * other work that the expected time only estimates.
   */
  readonly isComparable?: boolean;
  /** Mean time between two events; set only for responses with several events. */
  readonly eventMs?: number;
}
