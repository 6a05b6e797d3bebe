/** Weight of one sample in the mean. */
const MEAN_WEIGHT = 0.05;

/**
 * Converts times of runners into those of an average one. The slowness is taken relative to the mean over the same
 * samples: otherwise an error common to all runners would go back and forth between their slowness and the estimate
 * that is learned from the converted times.
 */
export class SlownessNormalizer {
  private meanLogSlowness = 0;

  /** Returns the time that an average runner would have needed, in ms. */
  normalize(tookMs: number, slowness: number): number {
    const logSlowness = Math.log(slowness);
    this.meanLogSlowness += MEAN_WEIGHT * (logSlowness - this.meanLogSlowness);
    return tookMs * Math.exp(this.meanLogSlowness - logSlowness);
  }
}
