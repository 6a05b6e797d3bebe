import {Problem} from '@bayspool/kernel';
import {Outcome} from './outcome.js';
import {RequestFailure} from './request_failure.js';

/** Determines the outcome from an error. A plain `Problem` is raised before dispatch, so the request did not run; after any unexpected error the outcome is unknown. */
export function determineOutcome(error: unknown): Outcome {
  if (error instanceof RequestFailure) return error.outcome;
  return error instanceof Problem ? Outcome.NOT_RUN : Outcome.UNKNOWN;
}
