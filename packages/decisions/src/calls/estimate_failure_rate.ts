/** Failure rate assumed for a sound version without any history. */
const PRIOR_FAILURE_RATE = 0.02;
/** Weight of the prior, in responses. */
const PRIOR_WEIGHT = 20;

/** Estimates the failure rate of a version, 0 to 1, from its outcomes so far and a prior. */
export function estimateFailureRate(failed: number, ended: number): number {
  return (failed + PRIOR_FAILURE_RATE * PRIOR_WEIGHT) / (ended + PRIOR_WEIGHT);
}
