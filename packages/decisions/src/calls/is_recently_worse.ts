import {compareOutcomes} from './compare_outcomes.js';
import {estimateFailureRate} from './estimate_failure_rate.js';
import type {OutcomeComparison} from './outcome_comparison.js';
import type {VersionOutcomes} from './version_outcomes.js';

interface Options {
  /** Recent outcomes of the new version. */
  readonly fresh: VersionOutcomes;
  /** All outcomes of the old version. */
  readonly old: VersionOutcomes;
}

/** Bad responses that are unlikely to come from a single connection or runner. */
const MIN_BAD_RESPONSES = 3;
/**
 * Tolerated excess over the rate of the old version. A bad version has at least every fifth
 * response bad.
 */
const MAX_EXCESS_RATE = 0.1;

/**
 * Whether the new version has begun to fail, or to be slow, more often than the old one. This is
 * not a verdict: it only delays steps that cannot be undone, so a few responses are enough.
 */
export function isRecentlyWorse({fresh, old}: Options): boolean {
  return compareOutcomes({fresh, old}).some(hasHigherRate);
}

function hasHigherRate({
  bad,
  ended,
  oldBad,
  oldEnded,
}: OutcomeComparison): boolean {
  if (bad < MIN_BAD_RESPONSES) return false;
  return bad / ended - estimateFailureRate(oldBad, oldEnded) > MAX_EXCESS_RATE;
}
