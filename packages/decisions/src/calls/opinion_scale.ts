/** Spread of opinions around the truth before pairs are known, in points of 100. */
const FIRST_SPREAD = 15;
/** Weight of that spread, in pairs. */
const FIRST_WEIGHT = 8;
/** The opinion that means even chances: the middle of the scale from 0 to 100. */
const EVEN = 50;
const HIGHEST = 100;
/** Least spread, in points, so that some agreeing pairs don't make opinions certain. */
const MIN_SPREAD = 4;
/** Weight of the newest pair at least, so that a change of the models is followed. */
const MIN_RATE = 0.01;
/** Scale of the logistic curve that comes closest to the normal distribution. */
const LOGISTIC = 1.702;

/**
 * What models' opinions of their own answers are worth, from 0 to 100. Two models asked the same give
 * opinions whose difference is the same but for noise; the scatter of the difference tells the noise,
 * and the noise tells how far from the middle an opinion has to be to mean something.
 */
export class OpinionScale {
  private pairs = 0;
  private meanGap = 0;
  private variance = 2 * FIRST_SPREAD ** 2;

  /** Noise of one opinion, as a standard deviation in points. */
  get spread(): number {
    return Math.max(MIN_SPREAD, Math.sqrt(this.variance / 2));
  }

  /** How probable it is that an answer with this opinion is good, 0 to 1. */
  goodShare(opinion: number): number {
    const distance = (opinion - EVEN) / this.spread;
    return 1 / (1 + Math.exp(-LOGISTIC * distance));
  }

  /** Learns from the opinions of a small and a large model on the same request. */
  notePair(small: number, large: number): void {
    // An opinion at an end of the scale may stand for any beyond it.
    if (isCut(small) || isCut(large)) return;
    this.pairs += 1;
    const gap = large - small;
    const before = gap - this.meanGap;
    this.meanGap += before * Math.max(MIN_RATE, 1 / this.pairs);
    const scatter = before * (gap - this.meanGap);
    const weight = Math.max(MIN_RATE, 1 / (FIRST_WEIGHT + this.pairs));
    this.variance += weight * (scatter - this.variance);
  }
}

function isCut(opinion: number): boolean {
  return opinion <= 0 || opinion >= HIGHEST;
}
