interface Options {
  /** Time after which a rating counts half, in ms. */
  readonly halfLifeMs: number;
}

const PRIOR_RATINGS = 1;

/** A Beta posterior of the probability that an answer is rated good, with exponential decay. */
export class PassRateEstimate {
  private good = 0;
  private bad = 0;
  private updatedAt = 0;

  constructor(private readonly options: Options) {}

  addRating(passed: boolean, now: number): void {
    this.decay(now);
    if (passed) this.good++;
    else this.bad++;
  }

  /** Returns the posterior mean. */
  mean(now: number): number {
    this.decay(now);
    return (
      (this.good + PRIOR_RATINGS) /
      (this.effectiveRatings() + 2 * PRIOR_RATINGS)
    );
  }

  /** Returns the mean minus `deviations` standard deviations, at least 0. */
  lowerBound(now: number, deviations: number): number {
    const mean = this.mean(now);
    const total = this.effectiveRatings() + 2 * PRIOR_RATINGS;
    const deviation = Math.sqrt((mean * (1 - mean)) / (total + 1));
    return Math.max(0, mean - deviations * deviation);
  }

  /** Returns the effective number of ratings: those that are left after the decay. */
  effectiveRatings(): number {
    return this.good + this.bad;
  }

  private decay(now: number): void {
    const factor = 0.5 ** ((now - this.updatedAt) / this.options.halfLifeMs);
    this.good *= factor;
    this.bad *= factor;
    this.updatedAt = now;
  }
}
