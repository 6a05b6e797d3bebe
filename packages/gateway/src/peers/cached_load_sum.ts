import type {Clock} from '@bayspool/kernel';
import type {LoadDigest} from './load_digest.js';
import {advanceRolloutAges} from './advance_rollout_ages.js';
import {mergeLoadDigests} from './merge_load_digests.js';

interface Options {
  readonly clock: Clock;
  readonly listDigests: () => readonly LoadDigest[];
}

/** How long a sum is reused, in ms: many hosts poll in the same sync round. */
const CACHE_TTL_MS = 100;

/** Caches the sum of several digests for a short time. */
export class CachedLoadSum {
  private cachedSum: LoadDigest | undefined;
  private computedAt = -Infinity;

  constructor(private readonly options: Options) {}

  /** Returns the sum, recomputed once the cached one has expired. */
  get(): LoadDigest {
    const now = this.options.clock.now();
    const ageMs = now - this.computedAt;
    if (this.cachedSum && ageMs < CACHE_TTL_MS)
      return advanceRolloutAges(this.cachedSum, ageMs);
    this.computedAt = now;
    this.cachedSum = mergeLoadDigests(this.options.listDigests());
    return this.cachedSum;
  }
}
