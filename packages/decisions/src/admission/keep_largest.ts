/** Returns the `count` largest numbers of a record. */
export function keepLargest(
  record: Readonly<Record<string, number>>,
  count: number,
): Record<string, number> {
  const entries = Object.entries(record);
  if (entries.length <= count) return {...record};
  entries.sort(([, a], [, b]) => b - a);
  return Object.fromEntries(entries.slice(0, count));
}
