interface Options {
  /** Largest number of successes to include. */
  readonly successes: number;
  readonly trials: number;
  /** Probability of a success in one trial, 0 to 1. */
  readonly probability: number;
}

/** Variance from which the normal distribution is close enough, and the terms to sum would be many. */
const MAX_EXACT_VARIANCE = 50;

/** Computes the probability of at most so many successes in independent trials, 0 to 1. */
export function computeBinomialCdf({
  successes,
  trials,
  probability,
}: Options): number {
  if (successes < 0) return 0;
  if (successes >= trials) return 1;
  const failure = 1 - probability;
  // Summed from the rarer outcome, as the first term would underflow otherwise.
  if (probability > failure)
    return (
      1 -
      computeBinomialCdf({
        successes: trials - successes - 1,
        trials,
        probability: failure,
      })
    );
  const variance = trials * probability * failure;
  if (variance > MAX_EXACT_VARIANCE) {
    const deviations =
      (successes + 0.5 - trials * probability) / Math.sqrt(variance);
    return computeNormalCdf(deviations);
  }
  return sumTerms({successes, trials, probability});
}

function sumTerms({successes, trials, probability}: Options): number {
  const odds = probability / (1 - probability);
  let term = (1 - probability) ** trials;
  let sum = term;
  for (let i = 0; i < successes; i++) {
    term *= ((trials - i) / (i + 1)) * odds;
    sum += term;
  }
  return Math.min(1, sum);
}

/** Approximates the normal distribution with an error below 1e-4 (Abramowitz and Stegun, 26.2.18). */
function computeNormalCdf(deviations: number): number {
  const x = Math.abs(deviations);
  const polynomial =
    1 + x * (0.196854 + x * (0.115194 + x * (0.000344 + x * 0.019527)));
  const upperTail = 0.5 / polynomial ** 4;
  return deviations < 0 ? upperTail : 1 - upperTail;
}
