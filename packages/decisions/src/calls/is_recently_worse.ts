import {estimateFailureRate} from './estimate_failure_rate.js';
import type {VersionOutcomes} from './version_outcomes.js';

interface Options {
  /** What the new version answered lately. */
  readonly fresh: VersionOutcomes;
  /** All that the old version answered. */
  readonly old: VersionOutcomes;
}

/** Bad answers that are no chance of one connection or runner. */
const MIN_BAD_ANSWERS = 3;
/** How much larger their share is than the old version's: of a bad version every fifth answer is bad, or more. */
const MAX_EXCESS_RATE = 0.1;

/**
 * Whether the new version has begun to fail, or to be slow, more than the old one. No verdict: it only delays what cannot be
 * taken back, so a few answers are enough.
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
  if (bad < MIN_BAD_ANSWERS) return false;
  return bad / ended - estimateFailureRate(oldBad, oldEnded) > MAX_EXCESS_RATE;
}
