/** A runner crash, or the loss of its connection, while it had a request. */
export interface RunnerCrash {
  /** Identifies one start of the runner, in 32 bits; a restarted runner may keep its id. */
  readonly start: number;
  /** Strength of the evidence against the request, 0 to 1; see `weighRunnerCrash`. */
  readonly weight: number;
  /** Whether it is of a stream without a head, and counts because no other request was there; false if absent. */
  readonly isUnstarted?: boolean;
}
