import {estimateFailureRate} from './estimate_failure_rate.js';
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
 * Whether a new version is worse than the old one: more failed or slow responses than chance
 * explains at the rate of the old version.
 *
 * @returns `open` as long as there is no verdict
 */
export function evaluateVersion({fresh, old}: Options): 'bad' | 'open' {
  if (fresh.ended < MIN_ENDED) return 'open';
  if (isWorse(fresh.failed, fresh.ended, old.failed, old.ended)) return 'bad';
  if (isWorse(fresh.slow, fresh.ended, old.slow, old.ended)) return 'bad';
  return 'open';
}

function isWorse(
  bad: number,
  ended: number,
  oldBad: number,
  oldEnded: number,
): boolean {
  if (bad < MIN_BAD_RESPONSES) return false;
  const rate = estimateFailureRate(oldBad, oldEnded);
  const expected = rate * ended;
  const deviation = Math.sqrt(expected * Math.max(MIN_SUCCESS_RATE, 1 - rate));
  return bad > expected + MAX_DEVIATIONS * deviation;
}
