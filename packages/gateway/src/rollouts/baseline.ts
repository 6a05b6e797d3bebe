/** Responses of the old version needed before the mean is used. */
const MIN_SAMPLES = 5;
/** Least weight of a new value in the exponential moving average. */
const SMOOTHING_FACTOR = 0.1;

/** Exponential moving average of a value observed on the old version. */
export class Baseline {
  private estimate = 0;
  private count = 0;

  /** The moving average; undefined until enough values were observed. */
  get mean(): number | undefined {
    return this.count < MIN_SAMPLES ? undefined : this.estimate;
  }

  /** Adds the value of one response of the old version. */
  observe(value: number): void {
    this.count += 1;
    const weight = Math.max(SMOOTHING_FACTOR, 1 / this.count);
    this.estimate += weight * (value - this.estimate);
  }
}
