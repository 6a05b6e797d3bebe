/** Weight of one sample once there are many; the first ones count as a plain mean. */
const MIN_SAMPLE_WEIGHT = 0.05;
/** Variance that is assumed before the second sample: about that of an exponential distribution. */
const INITIAL_VARIANCE = 1;
/** Least variance of what comes next: it may differ from all samples, as when runners become slower. */
const MIN_VARIANCE = 0.04;
/** Value that a growing sample reaches over its value so far: it is seen at any time of its course. */
const GROWTH = 2;
/** Part of all samples up to which growing ones that are larger count as exceptions. */
const EXCEPTION_SHARE = 0.2;

/** Running mean and variance of the logarithm of positive samples; recent ones weigh more. */
export class LogStatistics {
  private samples = 0;
  private mean = 0;
  private currentVariance = INITIAL_VARIANCE;

  /** Variance of the logarithm. */
  get variance(): number {
    return this.currentVariance;
  }

  /** Adds a sample over 0. */
  add(sample: number): void {
    this.addWeighted(sample, MIN_SAMPLE_WEIGHT);
  }

  private addWeighted(sample: number, minWeight: number): void {
    this.samples += 1;
    const weight = Math.max(minWeight, 1 / this.samples);
    const error = Math.log(sample) - this.mean;
    this.mean += weight * error;
    // The first error is that of the initial mean.
    if (this.samples > 1)
      this.currentVariance +=
        weight * (error * error * (1 - weight) - this.currentVariance);
  }

  /**
   * Returns a copy with samples that still grow. Only those over the mean tell something, if they are no exceptions; they
   * weigh as one each of all samples so far.
   */
  extend(growing: readonly number[]): LogStatistics {
    const center = Math.exp(this.mean);
    const larger = growing.filter(sample => sample > center);
    if (this.samples === 0 || larger.length <= EXCEPTION_SHARE * this.samples)
      return this;
    const copy = Object.assign(new LogStatistics(), this);
    for (const sample of larger) copy.addWeighted(sample * GROWTH, 0);
    return copy;
  }

  /** Value that lies a number of standard deviations above the geometric mean; undefined without samples. */
  estimateUpperBound(deviations: number): number | undefined {
    if (this.samples === 0) return undefined;
    const variance = Math.max(MIN_VARIANCE, this.currentVariance);
    return Math.exp(this.mean + deviations * Math.sqrt(variance));
  }
}
