import {estimateFailureRate} from './estimate_failure_rate.js';
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
  return (
    hasHigherRate(fresh.failed, fresh.ended, old.failed, old.ended) ||
    hasHigherRate(fresh.slow, fresh.ended, old.slow, old.ended)
  );
}

function hasHigherRate(
  bad: number,
  ended: number,
  oldBad: number,
  oldEnded: number,
): boolean {
  if (bad < MIN_BAD_RESPONSES) return false;
  return bad / ended - estimateFailureRate(oldBad, oldEnded) > MAX_EXCESS_RATE;
}
