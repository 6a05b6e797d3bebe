import type {CallOutcome} from './call_outcome.js';

/** One finished request, from the logs. */
export interface CallRecord {
  readonly request: string;
  readonly route: string;
  /** The place of the host that accepted it. */
  readonly place: string;
  /** When it was accepted, in whole seconds since the epoch. */
  readonly second: number;
  readonly end: CallOutcome;
  /** Why it was not answered in time; empty if it was. */
  readonly reason: string;
  /** Discarded answers of small models, and the engine time spent on their prefill, in ms. */
  readonly droppedAnswers: number;
  readonly droppedMs: number;
}
