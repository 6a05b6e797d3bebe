import {compareOutcomes} from './compare_outcomes.js';
import {estimateFailureRate} from './estimate_failure_rate.js';
import type {OutcomeComparison} from './outcome_comparison.js';
import type {VersionOutcomes} from './version_outcomes.js';

interface Options {
  readonly fresh: VersionOutcomes;
  readonly old: VersionOutcomes;
}

/** Responses of the new version required for a verdict. */
const MIN_ENDED = 8;
/**
 * Failed or slow responses required to find the new version bad; a few may be caused by the
 * network.
 */
const MIN_BAD_RESPONSES = 5;
/**
 * Standard deviations above the rate of the old version that count as a difference. The test is
 * repeated after every response and for each route, so chance gets many tries.
 */
const MAX_DEVIATIONS = 4.5;
/**
 * Lower bound of the success rate that the deviation is computed with, so that the deviation is
 * never 0.
 */
const MIN_SUCCESS_RATE = 0.05;

/**
 * Whether a new version is worse than the old one: more bad responses of one kind than
 * chance explains at the rate of the old version.
 *
 * @returns `open` as long as there is no verdict
 */
export function evaluateVersion({fresh, old}: Options): 'bad' | 'open' {
  if (fresh.ended < MIN_ENDED) return 'open';
  return compareOutcomes({fresh, old}).some(isWorse) ? 'bad' : 'open';
}

function isWorse({bad, ended, oldBad, oldEnded}: OutcomeComparison): boolean {
  if (bad < MIN_BAD_RESPONSES) return false;
  const rate = estimateFailureRate(oldBad, oldEnded);
  const expected = rate * ended;
  const deviation = Math.sqrt(expected * Math.max(MIN_SUCCESS_RATE, 1 - rate));
  return bad > expected + MAX_DEVIATIONS * deviation;
}
