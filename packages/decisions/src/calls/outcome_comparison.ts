import type {BadOutcome} from './bad_outcome.js';

/** Bad responses of one kind at the two versions of a rollout, and the responses that could have been bad in this way. */
export interface OutcomeComparison {
  readonly kind: BadOutcome;
  readonly bad: number;
  readonly ended: number;
  readonly oldBad: number;
  readonly oldEnded: number;
}
