/** Returns the header names listed by a Connection header; these headers apply to that connection only. */
export function readConnectionOptions(
  rawHeaders: readonly string[],
): Set<string> {
  const names = new Set<string>();
  for (let i = 0; i < rawHeaders.length; i += 2) {
    if (rawHeaders[i].toLowerCase() !== 'connection') continue;
    for (const name of rawHeaders[i + 1].split(','))
      names.add(name.trim().toLowerCase());
  }
  return names;
}
