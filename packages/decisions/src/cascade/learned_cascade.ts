import type {RandomSource} from '@bayspool/kernel';
import type {CascadeCandidate} from './cascade_candidate.js';
import type {CascadePlan} from './cascade_plan.js';
import type {CascadePolicy} from './cascade_policy.js';
import type {CascadeRequest} from './cascade_request.js';

interface Options {
  readonly random: RandomSource;
  /** Standard deviations below the mean that a model must clear to answer alone. */
  readonly deviations?: number;
  /** Ratings needed before an estimate is believed. */
  readonly minRatings?: number;
  /** The part of requests spent on trying the cheap model when it is not believed to pay. */
  readonly explorationRate?: number;
}

const DEVIATIONS = 1.65;
const MIN_RATINGS = 20;
const EXPLORATION_RATE = 0.02;

/**
 * The cheapest plan that meets the quality target. A cheap model answers alone
 * when the lower bound of its pass probability is at the target. It goes first
 * with the strong one behind it when p > c/s, since c + (1 - p)s < s, and both
 * legs and the rating fit the deadline. Else the strong model answers alone.
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
    const threshold = cheap.version.cost / strong.version.cost;
    return cheap.estimate.mean(request.now) > threshold;
  }
}
