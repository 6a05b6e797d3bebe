/** Sums numbers by key. */
export function sumByKey(
  records: readonly Readonly<Record<string, number>>[],
): Record<string, number> {
  const sum = new Map<string, number>();
  for (const record of records) {
    for (const [key, value] of Object.entries(record))
      sum.set(key, (sum.get(key) ?? 0) + value);
  }
  return Object.fromEntries(sum);
}
