import {toPresentRequests} from '@bayspool/decisions/calls';
import type {
  PresentRequests,
  QuarantineDigest,
  RunnerCrash,
} from '@bayspool/decisions/calls';

/**
 * Most requests in a merged digest: 30 KB with three crashes each, as part of what one host of a place answers
 * another.
 */
const MAX_FINGERPRINTS = 256;
/** Most runners that ended in a merged digest. */
const MAX_RUNNERS = 128;

/**
 * Merges the quarantine digests of several hosts. The crashes of a request are a set, so each of them counts once,
 * however many hosts report it.
 */
export function mergeQuarantineDigests(
  all: ReadonlyArray<QuarantineDigest | undefined>,
): QuarantineDigest | undefined {
  const digests = all.filter(digest => digest !== undefined);
  if (digests.length === 0) return undefined;
  const ends = new Map<string, Map<number, RunnerCrash>>();
  for (const digest of digests)
    for (const [fingerprint, list] of Object.entries(digest.ends))
      mergeCrashes(ends, fingerprint, list);
  const answered = new Set(digests.flatMap(digest => digest.answered));
  return {
    ends: Object.fromEntries(
      [...ends].map(([fingerprint, list]) => [fingerprint, [...list.values()]]),
    ),
    answered: [...answered].slice(0, MAX_FINGERPRINTS),
    present: mergePresence(digests),
  };
}

/** A request counts as answered if any host knows that. */
function mergePresence(
  digests: readonly QuarantineDigest[],
): Record<string, PresentRequests> {
  const merged = new Map<string, Map<string, boolean>>();
  for (const {present = {}} of digests)
    for (const [start, {unanswered, answered}] of Object.entries(present)) {
      if (!merged.has(start) && merged.size >= MAX_RUNNERS) continue;
      const requests = merged.get(start) ?? new Map<string, boolean>();
      merged.set(start, requests);
      for (const fingerprint of unanswered)
        if (!requests.has(fingerprint)) requests.set(fingerprint, false);
      for (const fingerprint of answered) requests.set(fingerprint, true);
    }
  return Object.fromEntries(
    [...merged].map(([start, requests]) => [
      start,
      toPresentRequests(requests),
    ]),
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
