import type {RunEnd} from './run_end.js';
import type {RunnerEnd} from './runner_end.js';

/** A run under way, as far as the end of its runner concerns it. */
export interface WatchedRun {
  /** Id of the request. */
  readonly request: string;
  /** Whether its request was sent. */
  readonly isAdmitted: boolean;
  /** When the runner was last heard of, or the request was sent if that was later, on this host's clock. */
  readonly lastSignAt: number;
  /** Notes that nothing has been heard of the runner for a while. */
  noteRunnerSilent(): void;
  /** Ends the run. */
  end(reason: RunEnd): void;
  /** Called when the runner is known to have ended. */
  onRunnerEnded(end: RunnerEnd): void;
}
