import {BadOutcome} from './bad_outcome.js';
import {compareOutcomes} from './compare_outcomes.js';
import {estimateFailureRate} from './estimate_failure_rate.js';
import type {VersionOutcomes} from './version_outcomes.js';

interface Options {
  readonly fresh: VersionOutcomes;
  readonly old: VersionOutcomes;
}

/**
 * Tolerated difference between the failure rates of the two versions before a call that failed on
 * the new version is better retried on the old one. Three failed responses of ten exceed it if few
 * of the old version failed. A single failed response never does, nor do failures that both
 * versions have.
 */
const MAX_EXCESS_RATE = 0.1;

/**
 * Whether a new version seems to fail so much more often than the old one that a failed call should
 * be retried on the old one.
 */
export function isVersionSuspect({fresh, old}: Options): boolean {
  return compareOutcomes({fresh, old})
    .filter(({kind}) => kind !== BadOutcome.SLOW)
    .some(
      ({bad, ended, oldBad, oldEnded}) =>
        estimateFailureRate(bad, ended) -
          estimateFailureRate(oldBad, oldEnded) >
        MAX_EXCESS_RATE,
    );
}
