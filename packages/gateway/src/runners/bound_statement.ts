/** The statement of a runner behind a bound. */
export interface BoundStatement {
  /** Time since this host learned of the statement, in ms. */
  readonly ageMs?: number;
  /** Requests a second that the runner takes from all hosts together. */
  readonly perSecond?: number;
  /** Time for which the runner asked this host to send it nothing, in ms. */
  readonly restMs?: number;
  /** Rejections in a second above which the runner fails. */
  readonly brittlePerSecond?: number;
  /** Requests of all hosts for which it is believed to have room. */
  readonly room?: number;
}
