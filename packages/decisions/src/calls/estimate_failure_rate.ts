/** A share of failures that is taken as possible on a sound version without any history. */
const PRIOR_FAILURE_RATE = 0.02;
/** Weight of that share, in answers. */
const PRIOR_WEIGHT = 20;

/** The share of failures, 0 to 1, to be expected of a version after some of its answers. */
export function estimateFailureRate(failed: number, ended: number): number {
  return (failed + PRIOR_FAILURE_RATE * PRIOR_WEIGHT) / (ended + PRIOR_WEIGHT);
}
