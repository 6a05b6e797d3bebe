import type {QuarantineDigest, RunnerCrash} from '@bayspool/decisions/calls';

/**
 * Most requests in a merged digest: 30 KB with three crashes each, as part of what one host of a place answers
 * another.
 */
const MAX_FINGERPRINTS = 256;

/**
 * Merges the quarantine digests of several hosts. The crashes of a request are a set, so each of them counts once,
 * however many hosts report it.
 */
export function mergeQuarantineDigests(
  all: ReadonlyArray<QuarantineDigest | undefined>,
): QuarantineDigest | undefined {
  const digests = all.filter(digest => digest !== undefined);
  if (digests.length === 0) return undefined;
  const answered = new Set(digests.flatMap(digest => digest.answered));
  const unconfirmed = mergeAllCrashes(
    digests.map(digest => digest.unconfirmed),
  );
  return {
    ends: mergeAllCrashes(digests.map(({ends}) => ends)),
    ...(Object.keys(unconfirmed).length > 0 && {unconfirmed}),
    answered: [...answered].slice(0, MAX_FINGERPRINTS),
  };
}

function mergeAllCrashes(
  all: ReadonlyArray<QuarantineDigest['ends'] | undefined>,
): Record<string, readonly RunnerCrash[]> {
  const merged = new Map<string, Map<number, RunnerCrash>>();
  for (const crashes of all)
    for (const [fingerprint, list] of Object.entries(crashes ?? {}))
      mergeCrashes(merged, fingerprint, list);
  return Object.fromEntries(
    [...merged].map(([fingerprint, list]) => [fingerprint, [...list.values()]]),
  );
}

function mergeCrashes(
  ends: Map<string, Map<number, RunnerCrash>>,
  fingerprint: string,
  list: readonly RunnerCrash[],
): void {
  if (!ends.has(fingerprint) && ends.size >= MAX_FINGERPRINTS) return;
  const crashes = ends.get(fingerprint) ?? new Map<number, RunnerCrash>();
  ends.set(fingerprint, crashes);
  for (const end of list) {
    const weight = crashes.get(end.start)?.weight ?? -Infinity;
    if (end.weight > weight) crashes.set(end.start, end);
  }
}
