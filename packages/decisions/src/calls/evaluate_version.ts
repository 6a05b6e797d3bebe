import {estimateFailureRate} from './estimate_failure_rate.js';
import type {VersionOutcomes} from './version_outcomes.js';

interface Options {
  readonly fresh: VersionOutcomes;
  readonly old: VersionOutcomes;
}

/** Answers of the new version before it is judged at all. */
const MIN_ENDED = 8;
/** Failures of the new version before it is judged bad; a few may be the network's. */
const MIN_BAD_ANSWERS = 5;
/**
 * How many standard deviations over the old version's share are taken as a difference: the question is
 * asked after every answer and for each route, so chance has many tries.
 */
const MAX_DEVIATIONS = 4.5;
/** Least share of sound answers that the deviation is computed with, so that it is never 0. */
const MIN_SUCCESS_RATE = 0.05;

/**
 * Whether a new version is worse than the old one: more failures or more slow answers than chance
 * explains at the old version's share of them.
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
  if (bad < MIN_BAD_ANSWERS) return false;
  const share = estimateFailureRate(oldBad, oldEnded);
  const expected = share * ended;
  const deviation = Math.sqrt(expected * Math.max(MIN_SUCCESS_RATE, 1 - share));
  return bad > expected + MAX_DEVIATIONS * deviation;
}
