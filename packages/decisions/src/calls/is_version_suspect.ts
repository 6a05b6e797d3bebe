import {expectedFailureShare} from './expected_failure_share.js';
import type {VersionTally} from './version_tally.js';

interface Options {
  readonly fresh: VersionTally;
  readonly old: VersionTally;
}

/**
 * How much more likely a failure of the new version may be, as a difference of shares, before a call that
 * failed there is better off with the old one. Three failed answers of ten and few of the old version reach
 * it; one failed answer alone never does, nor do failures that both versions have.
 */
const MAX_EXCESS_SHARE = 0.1;

/** Whether a new version seems to fail so much more than the old one that a failed call should leave it. */
export function isVersionSuspect({fresh, old}: Options): boolean {
  const freshShare = expectedFailureShare(fresh.failed, fresh.ended);
  const oldShare = expectedFailureShare(old.failed, old.ended);
  return freshShare - oldShare > MAX_EXCESS_SHARE;
}
