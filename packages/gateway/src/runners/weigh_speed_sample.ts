interface Options {
  /** Expected work of the call itself, in ms. */
  readonly ownMs: number;
  /** Expected time that may be wrong: for other calls' work, and for parts that are perhaps not cached. */
  readonly uncertainMs: number;
  /** Variance of the logarithm of the work of such calls. */
  readonly logVariance: number;
}

/** Variance of the logarithms of runners' slowness: speeds of 0.7 to 1.4 are common. */
const SPEED_VARIANCE = 0.1;
/** Variance of the times of equal work on an idle runner. */
const MIN_VARIANCE = 0.02;

/**
 * Weighs a call's time as a sample of its runner's speed, relative to the assumption that the speed is nominal: the
 * more of the time depends on anything but the runner's speed, the less it says.
 */
export function weighSpeedSample({
  ownMs,
  uncertainMs,
  logVariance,
}: Options): number {
  const certainShare = ownMs / Math.max(1, ownMs + uncertainMs);
  const uncertainVariance = (uncertainMs / Math.max(1, ownMs)) ** 2;
  const variance = MIN_VARIANCE + logVariance + uncertainVariance;
  return (certainShare * SPEED_VARIANCE) / variance;
}
