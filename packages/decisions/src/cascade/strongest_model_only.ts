import type {CascadeCandidate} from './cascade_candidate.js';
import type {CascadePlan} from './cascade_plan.js';
import type {CascadePolicy} from './cascade_policy.js';

/** Baseline policy: the strongest model answers every request. */
export class StrongestModelOnly implements CascadePolicy {
  plan(candidates: readonly CascadeCandidate[]): CascadePlan {
    return {legs: [candidates[candidates.length - 1].version]};
  }
}
