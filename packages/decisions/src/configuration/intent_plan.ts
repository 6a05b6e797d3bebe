import type {Intent} from './intent.js';

/** What an intent would do, before anything is changed. */
export interface IntentPlan {
  /** The id that the confirmed intent will have. */
  readonly id: string;
  readonly intent: Intent;
  /** What happens, in order, each step with what it touches. */
  readonly steps: readonly string[];
  /** What could go wrong or surprise. */
  readonly hazards: readonly string[];
  /** The revision of each touched object; the plan is void when one has moved on. */
  readonly basis: Readonly<Record<string, number>>;
  /** Wall time in ms since the Unix epoch after which it can no longer be confirmed. */
  readonly lapsesAt: number;
}
