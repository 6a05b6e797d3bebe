import {expectedFailureShare} from './expected_failure_share.js';
import type {VersionTally} from './version_tally.js';

interface Options {
  /** What the new version answered lately. */
  readonly fresh: VersionTally;
  /** All that the old version answered. */
  readonly old: VersionTally;
}

/** Failures that are no chance of one connection or runner. */
const MIN_FAILED = 3;
/** How much larger the share of failures is than the old version's: a bad version fails every fifth call or more. */
const EXCESS_SHARE = 0.1;

/**
 * Whether the new version has begun to fail more than the old one. No verdict: it only delays what cannot be taken back, so a
 * few answers are enough.
 */
export function isRecentlyWorse({fresh, old}: Options): boolean {
  if (fresh.failed < MIN_FAILED) return false;
  const oldShare = expectedFailureShare(old.failed, old.ended);
  return fresh.failed / fresh.ended - oldShare > EXCESS_SHARE;
}
