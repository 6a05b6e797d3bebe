import type {CascadeCandidate} from './cascade_candidate.js';
import type {CascadePlan} from './cascade_plan.js';
import type {CascadeRequest} from './cascade_request.js';

/** Chooses the models that try to answer a request. Candidates are sorted from weakest to strongest, and there is at least one. */
export interface CascadePolicy {
  plan(
    candidates: readonly CascadeCandidate[],
    request: CascadeRequest,
  ): CascadePlan;
}
