/** The smallest value that is not exceeded by this share of the values; 0 if there are none. */
export function computePercentile(
  values: readonly number[],
  share: number,
): number {
  const ascending = [...values].sort((a, b) => a - b);
  const index = Math.ceil(ascending.length * share) - 1;
  return ascending[Math.max(0, index)] ?? 0;
}
