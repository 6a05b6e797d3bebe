/** The end of a runner while it had a request. */
export interface RunnerCrash {
  /** Names one start of the runner, in 32 bits: it may come back under its id. */
  readonly start: number;
  /** How much it speaks against the request, 0 to 1; see `weighRunnerEnd`. */
  readonly weight: number;
}
