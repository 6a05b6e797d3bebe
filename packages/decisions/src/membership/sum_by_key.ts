/** Sums numbers by key. */
export function sumByKey(
  records: readonly Readonly<Record<string, number>>[],
): Record<string, number> {
  const sum: Record<string, number> = {};
  for (const record of records) {
    for (const [key, value] of Object.entries(record))
      sum[key] = (sum[key] ?? 0) + value;
  }
  return sum;
}
