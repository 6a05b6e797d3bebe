/** Samples after which the earlier ones are forgotten, in two steps. */
const BLOCK_SAMPLES = 100;

/** Largest of the latest samples: of at least the last 100, and at most the last 200. */
export class RecentMaximum {
  private count = 0;
  private current = 0;
  private previous = 0;

  /** The largest; 0 without samples. */
  get value(): number {
    return Math.max(this.current, this.previous);
  }

  /** Adds a sample over 0. */
  add(sample: number): void {
    if (this.count === BLOCK_SAMPLES) {
      this.previous = this.current;
      this.current = 0;
      this.count = 0;
    }
    this.count += 1;
    this.current = Math.max(this.current, sample);
  }
}
