/**
 * Returns the value of a key that the record itself has. Records keyed by names from outside need it: a name may be that of
 * a property that every object inherits, such as `constructor`.
 */
export function getOwn<T>(
  record: Readonly<Record<string, T>>,
  key: string,
): T | undefined {
  return Object.hasOwn(record, key) ? record[key] : undefined;
}
