import type {QuarantineDigest, RunnerCrash} from '@bayspool/decisions/calls';

/** Requests in what several hosts tell together, at most: 30 KB with three ends each, of what one host of a place answers another. */
const MAX_FINGERPRINTS = 256;

/** What several hosts tell of requests under which runners ended: ends are sets, so it counts each of them once. */
export function mergeQuarantineDigests(
  all: ReadonlyArray<QuarantineDigest | undefined>,
): QuarantineDigest | undefined {
  const told = all.filter(news => news !== undefined);
  if (told.length === 0) return undefined;
  const ends = new Map<string, Map<number, RunnerCrash>>();
  for (const news of told)
    for (const [fingerprint, list] of Object.entries(news.ends))
      mergeCrashes(ends, fingerprint, list);
  const answered = new Set(told.flatMap(news => news.answered));
  return {
    ends: Object.fromEntries(
      [...ends].map(([fingerprint, list]) => [fingerprint, [...list.values()]]),
    ),
    answered: [...answered].slice(0, MAX_FINGERPRINTS),
  };
}

function mergeCrashes(
  ends: Map<string, Map<number, RunnerCrash>>,
  fingerprint: string,
  list: readonly RunnerCrash[],
): void {
  if (!ends.has(fingerprint) && ends.size >= MAX_FINGERPRINTS) return;
  const known = ends.get(fingerprint) ?? new Map<number, RunnerCrash>();
  ends.set(fingerprint, known);
  for (const end of list) {
    const weight = known.get(end.start)?.weight ?? -Infinity;
    if (end.weight > weight) known.set(end.start, end);
  }
}
