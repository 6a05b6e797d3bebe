interface Options {
  /** Cumulative sum at which the version counts as degraded. */
  readonly threshold?: number;
  /** Added to the acceptable rate of bad answers to get the bad rate. */
  readonly margin?: number;
}

const THRESHOLD = 9;
const MARGIN = 0.15;
const MIN_RATE = 0.01;
const MAX_RATE = 0.98;

/**
 * Page's CUSUM test over ratings in order of arrival: detects when a version that was good degrades.
 * Earlier good answers don't offset later bad ones.
 */
export class DriftDetector {
  private cumulativeSum = 0;
  private readonly threshold: number;
  private readonly margin: number;

  constructor(options: Options = {}) {
    this.threshold = options.threshold ?? THRESHOLD;
    this.margin = options.margin ?? MARGIN;
  }

  /** Adds a batch of ratings; returns true when the version has degraded. */
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
