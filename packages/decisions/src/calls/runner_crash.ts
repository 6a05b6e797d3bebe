/** A runner crash, or the loss of its connection, while it had a request. */
export interface RunnerCrash {
  /** Identifies one start of the runner, in 32 bits; a restarted runner may keep its id. */
  readonly start: number;
  /** Strength of the evidence against the request, 0 to 1; see `weighRunnerCrash`. With 0 it only shows that the runner had the request. */
  readonly weight: number;
  /** Time since the host that tells it noted the crash first, in ms; hosts of an earlier version do not tell it. */
  readonly ageMs?: number;
}
