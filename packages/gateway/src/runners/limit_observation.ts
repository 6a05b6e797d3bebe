/** The limit declared by one incarnation of a runner, as a host sends it to other hosts. */
export interface LimitObservation {
  /** The incarnation of the runner, see {@link getIncarnationId}. */
  readonly runner: string;
  /** Requests per second; absent if the runner no longer declares a limit. */
  readonly perSecond?: number;
  /** Time since the response that the value comes from, in ms. */
  readonly ageMs: number;
}
