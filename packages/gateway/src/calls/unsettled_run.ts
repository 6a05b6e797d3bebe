import type {RunnerEnd} from './runner_end.js';

/** A run that ended while nothing was heard of its runner: what is learned of the runner later tells what that says. */
export interface UnsettledRun {
  /** Id of the request. */
  readonly request: string;
  readonly fingerprint: string;
  /** Fingerprints of the shared parts of its prompt. */
  readonly parts: readonly string[];
  /** When the request was sent, on this host's clock. */
  readonly sentAt: number;
  /** When the runner was last heard of, or the request was sent if that was later. */
  readonly lastSignAt: number;
  /** When the run ended. */
  readonly endedAt: number;
  /** Whether its connection broke, so that the runner is asked at once; false if absent. */
  readonly isBroken?: boolean;
  /** Called when the runner is known to have ended since, with those parts that were not answered meanwhile. */
  readonly onRunnerEnded: (end: RunnerEnd, parts: readonly string[]) => void;
}
