import {Problem} from '@bayspool/kernel';
import {Outcome} from './outcome.js';
import {RequestFailure} from './request_failure.js';

/** A plain problem is raised before dispatch, so it means "not run"; anything unforeseen is unknown. */
export function determineOutcome(error: unknown): Outcome {
  if (error instanceof RequestFailure) return error.outcome;
  return error instanceof Problem ? Outcome.NOT_RUN : Outcome.UNKNOWN;
}
