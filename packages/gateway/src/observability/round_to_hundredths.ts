/** A figure for the log, to two places behind the point. */
export function roundToHundredths(value: number): number {
  return Math.round(value * 100) / 100;
}
