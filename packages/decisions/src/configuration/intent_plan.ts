import type {Intent} from './intent.js';

/** The effects of an intent, worked out before anything is changed. */
export interface IntentPlan {
  /** The id that the confirmed intent will have. */
  readonly id: string;
  readonly intent: Intent;
  /** The steps in order, each with the objects that it affects. */
  readonly steps: readonly string[];
  /** Risks and unexpected effects. */
  readonly hazards: readonly string[];
  /** Revision of each touched object; the plan is invalid once one of them has changed. */
  readonly basis: Readonly<Record<string, number>>;
  /** Wall time in ms since the Unix epoch after which the plan can no longer be confirmed. */
  readonly lapsesAt: number;
}
