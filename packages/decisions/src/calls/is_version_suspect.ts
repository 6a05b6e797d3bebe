import {estimateFailureRate} from './estimate_failure_rate.js';
import type {VersionOutcomes} from './version_outcomes.js';

interface Options {
  readonly fresh: VersionOutcomes;
  readonly old: VersionOutcomes;
}

/**
 * How much more likely a failure of the new version may be, as a difference of shares, before a call that
 * failed there is better off with the old one. Three failed answers of ten and few of the old version reach
 * it; one failed answer alone never does, nor do failures that both versions have.
 */
const MAX_EXCESS_RATE = 0.1;

/** Whether a new version seems to fail so much more than the old one that a failed call should leave it. */
export function isVersionSuspect({fresh, old}: Options): boolean {
  const freshShare = estimateFailureRate(fresh.failed, fresh.ended);
  const oldShare = estimateFailureRate(old.failed, old.ended);
  return freshShare - oldShare > MAX_EXCESS_RATE;
}
