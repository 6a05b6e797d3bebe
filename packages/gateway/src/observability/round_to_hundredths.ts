/** Rounds a number for the log to two decimal places. */
export function roundToHundredths(value: number): number {
  return Math.round(value * 100) / 100;
}
