import type {PartQuarantineDigest} from '@bayspool/decisions/calls';

/** Most parts in a merged digest, of which one host of a place answers another: some 25 KB. */
const MAX_PARTS = 256;

/** Merges the digests of several hosts. The crashes of a part are a set, so each counts once, however many hosts report it. */
export function mergePartQuarantineDigests(
  all: ReadonlyArray<PartQuarantineDigest | undefined>,
): PartQuarantineDigest | undefined {
  const digests = all.filter(digest => digest !== undefined);
  if (digests.length === 0) return undefined;
  const merged = new Map<
    string,
    {depth: number; starts: Set<number>; isQuarantined?: boolean}
  >();
  for (const {suspects} of digests) {
    for (const [part, told] of Object.entries(suspects)) {
      const {depth, starts} = told;
      if (!merged.has(part) && merged.size >= MAX_PARTS) continue;
      const sum = merged.get(part) ?? {depth, starts: new Set<number>()};
      merged.set(part, sum);
      starts.forEach(start => sum.starts.add(start));
      if (told.isQuarantined) sum.isQuarantined = true;
    }
  }
  const answered = new Set(digests.flatMap(digest => digest.answered));
  return {
    suspects: Object.fromEntries(
      [...merged].map(([part, {starts, ...rest}]) => [
        part,
        {...rest, starts: [...starts]},
      ]),
    ),
    answered: [...answered].slice(0, MAX_PARTS),
  };
}
