/** What one host knows of a runner's ability to take calls. */
export interface RunnerCapacity {
  /** Whether calls may be sent to the runner now: it is not ejected, quiet, draining, resting or unreachable. */
  readonly isUsable: boolean;
  /** Slots for work that it does at the same time; 1 for an engine, as its work is prefill. */
  readonly slots: number;
  /** Ratio of actual to expected time; 1 is nominal. */
  readonly slowness: number;
  /** Requests in flight at the runner, from all hosts. */
  readonly running: number;
  /** Work that was sent to the runner and is not finished, from all hosts, in ms of slot time at nominal speed. */
  readonly backlogMs: number;
  /** Calls per second that all hosts together may send to it, if it is cold or limited. */
  readonly maxCallsPerSecond?: number;
  /** Mean work of a call, in ms of slot time at nominal speed; 0 if unknown. */
  readonly meanWorkMs: number;
}
