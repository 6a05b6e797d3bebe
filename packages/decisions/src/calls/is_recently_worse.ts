import {expectedFailureShare} from './expected_failure_share.js';
import type {VersionTally} from './version_tally.js';

interface Options {
  /** What the new version answered lately. */
  readonly fresh: VersionTally;
  /** All that the old version answered. */
  readonly old: VersionTally;
}

/** Bad answers that are no chance of one connection or runner. */
const MIN_BAD = 3;
/** How much larger their share is than the old version's: of a bad version every fifth answer is bad, or more. */
const EXCESS_SHARE = 0.1;

/**
 * Whether the new version has begun to fail, or to be slow, more than the old one. No verdict: it only delays what cannot be
 * taken back, so a few answers are enough.
 */
export function isRecentlyWorse({fresh, old}: Options): boolean {
  return (
    isMore(fresh.failed, fresh.ended, old.failed, old.ended) ||
    isMore(fresh.slow, fresh.ended, old.slow, old.ended)
  );
}

function isMore(
  bad: number,
  ended: number,
  oldBad: number,
  oldEnded: number,
): boolean {
  if (bad < MIN_BAD) return false;
  return bad / ended - expectedFailureShare(oldBad, oldEnded) > EXCESS_SHARE;
}
