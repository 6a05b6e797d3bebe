/** Spread of opinions around the truth before pairs are known, in points of 100. */
const PRIOR_DEVIATION = 15;
/** Weight of that spread, in pairs. */
const PRIOR_PAIRS = 8;
/** The opinion that means even chances: the middle of the scale from 0 to 100. */
const EVEN_CONFIDENCE = 50;
const MAX_CONFIDENCE = 100;
/** Least spread, in points, so that some agreeing pairs don't make opinions certain. */
const MIN_DEVIATION = 4;
/** Weight of the newest pair at least, so that a change of the models is followed. */
const MIN_LEARNING_RATE = 0.01;
/** Scale of the logistic curve that comes closest to the normal distribution. */
const LOGISTIC_SCALE = 1.702;

/**
 * What models' opinions of their own answers are worth, from 0 to 100. Two models asked the same give
 * opinions whose difference is the same but for noise; the scatter of the difference tells the noise,
 * and the noise tells how far from the middle an opinion has to be to mean something.
 */
export class ConfidenceCalibration {
  private pairCount = 0;
  private meanDifference = 0;
  private differenceVariance = 2 * PRIOR_DEVIATION ** 2;

  /** Noise of one opinion, as a standard deviation in points. */
  get noiseDeviation(): number {
    return Math.max(MIN_DEVIATION, Math.sqrt(this.differenceVariance / 2));
  }

  /** How probable it is that an answer with this opinion is good, 0 to 1. */
  probabilityGood(opinion: number): number {
    const distance = (opinion - EVEN_CONFIDENCE) / this.noiseDeviation;
    return 1 / (1 + Math.exp(-LOGISTIC_SCALE * distance));
  }

  /** Learns from the opinions of a small and a large model on the same request. */
  recordPair(small: number, large: number): void {
    // An opinion at an end of the scale may stand for any beyond it.
    if (isClipped(small) || isClipped(large)) return;
    this.pairCount += 1;
    const gap = large - small;
    const before = gap - this.meanDifference;
    this.meanDifference +=
      before * Math.max(MIN_LEARNING_RATE, 1 / this.pairCount);
    const scatter = before * (gap - this.meanDifference);
    const weight = Math.max(
      MIN_LEARNING_RATE,
      1 / (PRIOR_PAIRS + this.pairCount),
    );
    this.differenceVariance += weight * (scatter - this.differenceVariance);
  }
}

function isClipped(opinion: number): boolean {
  return opinion <= 0 || opinion >= MAX_CONFIDENCE;
}
