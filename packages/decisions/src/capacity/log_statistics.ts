interface Options {
  /** Samples that were seen before, with their mean and variance. */
  readonly count: number;
  readonly mean: number;
  readonly variance: number;
}

/** Weight of one sample once there are many; the first ones count as a plain mean. */
const MIN_SAMPLE_WEIGHT = 0.05;
/** Variance that is assumed before the second sample: about that of an exponential distribution. */
const INITIAL_VARIANCE = 1;
const NO_SAMPLES: Options = {count: 0, mean: 0, variance: INITIAL_VARIANCE};
/** Least variance of what comes next: it may differ from all samples, as when runners become slower. */
const MIN_VARIANCE = 0.04;

/** Running mean and variance of the logarithm of positive samples; recent ones weigh more. */
export class LogStatistics {
  private samples: number;
  private currentMean: number;
  private currentVariance: number;

  constructor({count, mean, variance}: Options = NO_SAMPLES) {
    this.samples = count;
    this.currentMean = mean;
    this.currentVariance = variance;
  }

  /** Number of samples. */
  get count(): number {
    return this.samples;
  }

  /** Mean of the logarithm; 0 without samples. */
  get mean(): number {
    return this.currentMean;
  }

  /** Variance of the logarithm. */
  get variance(): number {
    return this.currentVariance;
  }

  /** Adds a sample over 0. */
  add(sample: number): void {
    this.samples += 1;
    const weight = Math.max(MIN_SAMPLE_WEIGHT, 1 / this.samples);
    const error = Math.log(sample) - this.currentMean;
    this.currentMean += weight * error;
    // The first error is that of the initial mean.
    if (this.samples > 1)
      this.currentVariance +=
        weight * (error * error * (1 - weight) - this.currentVariance);
  }

  /** Value that lies a number of standard deviations above the geometric mean; undefined without samples. */
  estimateUpperBound(deviations: number): number | undefined {
    if (this.samples === 0) return undefined;
    const variance = Math.max(MIN_VARIANCE, this.currentVariance);
    return Math.exp(this.currentMean + deviations * Math.sqrt(variance));
  }
}
