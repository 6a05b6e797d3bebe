/** Decayed sums of samples of a runner's speed: their weight, and the weighted sum of the logarithms of their ratios. */
export type SpeedSum = readonly [weight: number, logSum: number];
