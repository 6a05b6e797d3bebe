/** Weight of one sample once there are many; the first ones count as a plain mean. */
const MIN_SAMPLE_WEIGHT = 0.05;
/** Variance that is assumed before the second sample: about that of an exponential distribution. */
const INITIAL_VARIANCE = 1;

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
    this.samples += 1;
    const weight = Math.max(MIN_SAMPLE_WEIGHT, 1 / this.samples);
    const error = Math.log(sample) - this.mean;
    this.mean += weight * error;
    // The first error is that of the initial mean.
    if (this.samples > 1)
      this.currentVariance +=
        weight * (error * error * (1 - weight) - this.currentVariance);
  }

  /**
   * Value that lies a number of standard deviations above the geometric mean; undefined without samples.
   *
   * @param minDeviation least standard deviation of the logarithm that is assumed
   */
  estimateUpperBound(
    deviations: number,
    minDeviation: number,
  ): number | undefined {
    if (this.samples === 0) return undefined;
    const deviation = Math.max(minDeviation, Math.sqrt(this.currentVariance));
    return Math.exp(this.mean + deviations * deviation);
  }
}
