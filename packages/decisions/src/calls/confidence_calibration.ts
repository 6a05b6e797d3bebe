/** Standard deviation of confidences assumed before any pairs are recorded, in points of 100. */
const PRIOR_DEVIATION = 15;
/** Weight of that prior, in pairs. */
const PRIOR_PAIRS = 8;
/** Confidence that means even odds: the middle of the scale from 0 to 100. */
const EVEN_CONFIDENCE = 50;
const MAX_CONFIDENCE = 100;
/**
 * Lower bound of the deviation, in points, so that a few agreeing pairs do not make confidences
 * certain.
 */
const MIN_DEVIATION = 4;
/** Minimum weight of the newest pair, so that changes of the models are followed. */
const MIN_LEARNING_RATE = 0.01;
/** Scale at which the logistic curve best approximates the normal distribution. */
const LOGISTIC_SCALE = 1.702;

/**
 * Calibrates the confidence, 0 to 100, that models report for their own answers. For the same
 * request the confidences of two models differ by a constant plus noise. The variance of the
 * difference gives the noise, and the noise determines how far from the middle a confidence has to
 * be to carry information.
 */
export class ConfidenceCalibration {
  private pairCount = 0;
  private meanDifference = 0;
  private differenceVariance = 2 * PRIOR_DEVIATION ** 2;

  /** Noise of one confidence, as a standard deviation in points. */
  get noiseDeviation(): number {
    return Math.max(MIN_DEVIATION, Math.sqrt(this.differenceVariance / 2));
  }

  /** Probability that an answer with this confidence is good, 0 to 1. */
  probabilityGood(confidence: number): number {
    const distance = (confidence - EVEN_CONFIDENCE) / this.noiseDeviation;
    return 1 / (1 + Math.exp(-LOGISTIC_SCALE * distance));
  }

  /** Learns from the confidences of a small and a large model for the same request. */
  recordPair(small: number, large: number): void {
    // A confidence at either end of the scale may be clipped.
    if (isClipped(small) || isClipped(large)) return;
    this.pairCount += 1;
    const difference = large - small;
    const deviation = difference - this.meanDifference;
    this.meanDifference +=
      deviation * Math.max(MIN_LEARNING_RATE, 1 / this.pairCount);
    const squaredDeviation = deviation * (difference - this.meanDifference);
    const weight = Math.max(
      MIN_LEARNING_RATE,
      1 / (PRIOR_PAIRS + this.pairCount),
    );
    this.differenceVariance +=
      weight * (squaredDeviation - this.differenceVariance);
  }
}

function isClipped(confidence: number): boolean {
  return confidence <= 0 || confidence >= MAX_CONFIDENCE;
}
