/** Answers of the old version before its time is known well enough. */
const MIN_KNOWN = 5;
/** Weight of one answer in the old version's mean. */
const LEARNING_RATE = 0.1;

/** What something usually is on the old version. */
export class Baseline {
  private sum = 0;
  private count = 0;

  /** Its mean; undefined while it is not known. */
  get mean(): number | undefined {
    return this.count < MIN_KNOWN ? undefined : this.sum;
  }

  /** Takes one answer of the old version into account. */
  learn(value: number): void {
    this.count += 1;
    const rate = Math.max(LEARNING_RATE, 1 / this.count);
    this.sum += rate * (value - this.sum);
  }
}
