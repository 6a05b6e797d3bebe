import type {CallOutcome} from './call_outcome.js';

/** What the logs tell of one request that ended. */
export interface CallRecord {
  readonly request: string;
  readonly route: string;
  /** The place of the host that took it. */
  readonly place: string;
  /** When it was taken, in whole seconds since the epoch. */
  readonly second: number;
  readonly end: CallOutcome;
  /** Why it was not in time; empty if it was. */
  readonly reason: string;
  /** Answers of small models that were dropped, and the engine time that reading for them took, in ms. */
  readonly droppedAnswers: number;
  readonly droppedMs: number;
}
