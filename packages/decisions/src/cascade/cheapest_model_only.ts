import type {CascadeCandidate} from './cascade_candidate.js';
import type {CascadePlan} from './cascade_plan.js';
import type {CascadePolicy} from './cascade_policy.js';

/** Baseline policy: the cheapest model answers every request. */
export class CheapestModelOnly implements CascadePolicy {
  plan(candidates: readonly CascadeCandidate[]): CascadePlan {
    const cheapest = [...candidates].sort(
      (a, b) => a.version.cost - b.version.cost,
    )[0];
    return {legs: [cheapest.version]};
  }
}
