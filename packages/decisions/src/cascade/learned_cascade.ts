import type {RandomSource} from '@bayspool/kernel';
import type {CascadeCandidate} from './cascade_candidate.js';
import type {CascadePlan} from './cascade_plan.js';
import type {CascadePolicy} from './cascade_policy.js';
import type {CascadeRequest} from './cascade_request.js';

interface Options {
  readonly random: RandomSource;
  /** Standard deviations below a model's mean pass rate that must still meet the target for it to answer alone. */
  readonly deviations?: number;
  /** Minimum number of ratings before an estimate is used. */
  readonly minRatings?: number;
  /** Fraction of requests that try the cheap model although this is not expected to save cost. */
  readonly explorationRate?: number;
}

const DEVIATIONS = 1.65;
const MIN_RATINGS = 20;
const EXPLORATION_RATE = 0.02;

/**
 * Chooses the cheapest plan that meets the quality target. A model answers alone when the lower bound
 * of its pass rate reaches the target. The cheap model goes first, with the strong one as fallback,
 * when p > c/s (p is its pass rate, c and s are the costs), since then c + (1 - p)s < s, and when both
 * legs and the rating fit the deadline. Otherwise the strong model answers alone.
 */
export class LearnedCascade implements CascadePolicy {
  private readonly options: Required<Options>;

  constructor(options: Options) {
    this.options = {
      deviations: DEVIATIONS,
      minRatings: MIN_RATINGS,
      explorationRate: EXPLORATION_RATE,
      ...options,
    };
  }

  plan(
    candidates: readonly CascadeCandidate[],
    request: CascadeRequest,
  ): CascadePlan {
    const alone = candidates.find(candidate =>
      this.meetsTarget(candidate, request),
    );
    const strong = candidates[candidates.length - 1];
    const cheap = candidates[0];
    if (alone === cheap || cheap === strong) return {legs: [cheap.version]};
    const fallback = alone ?? strong;
    if (!request.canHoldAnswer || !this.fitsDeadline(cheap, fallback, request))
      return {legs: [fallback.version]};
    return this.shouldTryCheap(cheap, fallback, request)
      ? {legs: [cheap.version, fallback.version]}
      : {legs: [fallback.version]};
  }

  private meetsTarget(
    candidate: CascadeCandidate,
    request: CascadeRequest,
  ): boolean {
    if (candidate.estimate.effectiveRatings() < this.options.minRatings)
      return false;
    return (
      candidate.estimate.lowerBound(request.now, this.options.deviations) >=
      request.quality
    );
  }

  private fitsDeadline(
    cheap: CascadeCandidate,
    strong: CascadeCandidate,
    request: CascadeRequest,
  ): boolean {
    return (
      cheap.expectedMs + request.ratingWaitMs + strong.expectedMs <
      request.remainingMs
    );
  }

  private shouldTryCheap(
    cheap: CascadeCandidate,
    strong: CascadeCandidate,
    request: CascadeRequest,
  ): boolean {
    if (this.options.random.next() < this.options.explorationRate) return true;
    const minPassRate = cheap.version.cost / strong.version.cost;
    return cheap.estimate.mean(request.now) > minPassRate;
  }
}
