import {BadOutcome} from './bad_outcome.js';
import {compareOutcomes} from './compare_outcomes.js';
import {computeBinomialCdf} from './compute_binomial_cdf.js';
import {estimateFailureRate} from './estimate_failure_rate.js';
import type {OutcomeComparison} from './outcome_comparison.js';
import type {VersionOutcomes} from './version_outcomes.js';

interface Options {
  readonly fresh: VersionOutcomes;
  readonly old: VersionOutcomes;
  /** Whether an absence of bad responses is not enough, for instance because some counts were lost. */
  readonly needsProof?: boolean;
}

/** Bad responses that are unlikely to come from a single connection or runner. */
const MIN_BAD_RESPONSES = 3;
/** Bad responses from which their number among few responses is weighed; a single one has many causes. */
const MIN_DOUBTFUL_RESPONSES = 2;
/** How much likelier these few bad responses may be at a bad version than at a sound one. */
const MAX_LIKELIHOOD_RATIO = 16;
/** Share of bad responses, beyond those of the old version, from which a version counts as bad. */
const MAX_EXCESS_RATE = 0.2;
/** Standard deviations of chance that are added to the observed excess. */
const CHANCE_DEVIATIONS = 1.64;
/** Probability, 0 to 1, with which a bad version may pass for sound where proof is needed. */
const MAX_ERROR_PROBABILITY = 0.15;

/**
 * Whether the responses so far exclude that every fifth one is bad because of the new version. The
 * more responses of both versions fail for other reasons, the more it takes. Lost responses are left
 * out: they come in bursts, so few of them say little about a rate. Where proof is needed, good
 * responses have to give it by their number.
 */
export function isShownSound({
  fresh,
  old,
  needsProof = false,
}: Options): boolean {
  return compareOutcomes({fresh, old})
    .filter(({kind}) => kind !== BadOutcome.LOST)
    .every(needsProof ? excludesFaultAlone : excludesFault);
}

function excludesFault({
  bad,
  ended,
  oldBad,
  oldEnded,
}: OutcomeComparison): boolean {
  if (bad < MIN_DOUBTFUL_RESPONSES) return true;
  const rate = estimateFailureRate(oldBad, oldEnded);
  if (bad < MIN_BAD_RESPONSES)
    return computeFaultLikelihoodRatio(bad, ended, rate) < MAX_LIKELIHOOD_RATIO;
  const observedRate = Math.max(rate, bad / ended);
  const deviation = Math.sqrt(ended * observedRate * (1 - observedRate));
  const highestExcess = bad - rate * ended + CHANCE_DEVIATIONS * deviation;
  // The fault also strikes responses that were bad anyway, where it does not show.
  return highestExcess < ended * (1 - rate) * MAX_EXCESS_RATE;
}

/** Returns how much likelier the outcomes are if the fault is there than if it is not. */
function computeFaultLikelihoodRatio(
  bad: number,
  ended: number,
  rate: number,
): number {
  const faultyRate = rate + (1 - rate) * MAX_EXCESS_RATE;
  const ratioOfBad = faultyRate / rate;
  const ratioOfGood = (1 - faultyRate) / (1 - rate);
  return ratioOfBad ** bad * ratioOfGood ** (ended - bad);
}

/** Whether the good responses exclude the fault by themselves, as there may have been other bad ones. */
function excludesFaultAlone({
  bad,
  ended,
  oldBad,
  oldEnded,
}: OutcomeComparison): boolean {
  if (ended === 0) return false;
  const rate = estimateFailureRate(oldBad, oldEnded);
  const errorProbability = computeBinomialCdf({
    successes: bad,
    trials: ended,
    probability: rate + (1 - rate) * MAX_EXCESS_RATE,
  });
  return errorProbability < MAX_ERROR_PROBABILITY;
}
