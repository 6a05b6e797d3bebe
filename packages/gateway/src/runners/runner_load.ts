/** What a runner has to do for one host, or for several together. */
export interface RunnerLoad {
  /** Requests sent and not ended. */
  readonly running: number;
  /** Expected reading time of prompts sent whose first event has not come, in ms. */
  readonly pendingMs: number;
  /** Outcomes, the newer the weightier. */
  readonly ok: number;
  readonly failed: number;
}
