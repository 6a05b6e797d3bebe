import type {AttemptOutcome} from '../calls/attempt_outcome.js';

/** How the relaying of a call to one host ended. */
export interface RelayResult {
  readonly outcome: AttemptOutcome;
  /** Time after which that host suggests to try again, in ms; undefined if it names none. */
  readonly minRetryMs?: number;
}
