import type {LoadDigest} from './load_digest.js';

type Counts = NonNullable<LoadDigest['retries']>;

/** Sums the calls and retries of several digests, by service. */
export function mergeRetryCounts(
  digests: ReadonlyArray<Counts | undefined>,
): Counts {
  const sums = new Map<string, readonly [number, number]>();
  for (const digest of digests) {
    for (const [service, [calls, retries]] of Object.entries(digest ?? {})) {
      const sum = sums.get(service) ?? [0, 0];
      sums.set(service, [sum[0] + calls, sum[1] + retries]);
    }
  }
  return Object.fromEntries(sums);
}
