import {BadOutcome} from './bad_outcome.js';
import {compareOutcomes} from './compare_outcomes.js';
import {estimateFailureRate} from './estimate_failure_rate.js';
import type {OutcomeComparison} from './outcome_comparison.js';
import type {VersionOutcomes} from './version_outcomes.js';

interface Options {
  readonly fresh: VersionOutcomes;
  readonly old: VersionOutcomes;
}

/** Bad responses that are unlikely to come from a single connection or runner. */
const MIN_BAD_RESPONSES = 3;
/** Tolerated excess over the rate of the old version. */
const MAX_EXCESS_RATE = 0.1;
/** Standard deviations of chance that the excess has to exceed. */
const MAX_DEVIATIONS = 2;

/**
 * Whether a new version fails more than the old one with some likelihood. This is not a verdict: it
 * only delays steps that cannot be undone.
 */
export function isLikelyWorse({fresh, old}: Options): boolean {
  return compareOutcomes({fresh, old})
    .filter(({kind}) => kind !== BadOutcome.SLOW)
    .some(hasLikelyExcess);
}

function hasLikelyExcess({
  bad,
  ended,
  oldBad,
  oldEnded,
}: OutcomeComparison): boolean {
  if (bad < MIN_BAD_RESPONSES) return false;
  const rate = estimateFailureRate(oldBad, oldEnded);
  const excess = bad - rate * ended;
  const deviation = Math.sqrt(ended * rate * (1 - rate));
  return excess > Math.max(MAX_EXCESS_RATE * ended, MAX_DEVIATIONS * deviation);
}
