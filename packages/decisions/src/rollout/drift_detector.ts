interface Options {
  /** The score at which the version counts as turned bad. */
  readonly threshold?: number;
  /** What is added to the acceptable rate to make the bad one. */
  readonly margin?: number;
}

const THRESHOLD = 9;
const MARGIN = 0.15;
const MIN_RATE = 0.01;
const MAX_RATE = 0.98;

/**
 * Page's cumulative sum over ratings in the order in which they come: finds the
 * moment at which a version that was good turns bad, and forgets the good past.
 */
export class DriftDetector {
  private cumulativeSum = 0;
  private readonly threshold: number;
  private readonly margin: number;

  constructor(options: Options = {}) {
    this.threshold = options.threshold ?? THRESHOLD;
    this.margin = options.margin ?? MARGIN;
  }

  /** Takes a group of ratings; true when the version turned bad. */
  addRatings(good: number, bad: number, badRate: number): boolean {
    const p0 = Math.min(Math.max(badRate, MIN_RATE), MAX_RATE - this.margin);
    const p1 = p0 + this.margin;
    const step = bad * Math.log(p1 / p0) + good * Math.log((1 - p1) / (1 - p0));
    this.cumulativeSum = Math.max(0, this.cumulativeSum + step);
    return this.cumulativeSum >= this.threshold;
  }

  reset(): void {
    this.cumulativeSum = 0;
  }
}
