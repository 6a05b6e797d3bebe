/** A figure for the log, to two places behind the point. */
export function roundHundredths(value: number): number {
  return Math.round(value * 100) / 100;
}
