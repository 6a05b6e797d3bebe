/** Answers of the old version before its time is known well enough. */
const MIN_SAMPLES = 5;
/** Weight of one answer in the old version's mean. */
const SMOOTHING_FACTOR = 0.1;

/** What something usually is on the old version. */
export class Baseline {
  private estimate = 0;
  private count = 0;

  /** Its mean; undefined while it is not known. */
  get mean(): number | undefined {
    return this.count < MIN_SAMPLES ? undefined : this.estimate;
  }

  /** Takes one answer of the old version into account. */
  observe(value: number): void {
    this.count += 1;
    const rate = Math.max(SMOOTHING_FACTOR, 1 / this.count);
    this.estimate += rate * (value - this.estimate);
  }
}
