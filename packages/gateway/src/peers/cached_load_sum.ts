import type {Clock} from '@bayspool/kernel';
import type {LoadDigest} from './load_digest.js';
import {advanceRolloutAges} from './advance_rollout_ages.js';
import {mergeLoadDigests} from './merge_load_digests.js';

interface Options {
  readonly clock: Clock;
  readonly listDigests: () => readonly LoadDigest[];
}

/** How long a sum is used again: many hosts ask in one round of the exchange, in ms. */
const CACHE_TTL_MS = 100;

/** A sum of digests that is made anew at most every so often. */
export class CachedLoadSum {
  private cachedSum: LoadDigest | undefined;
  private computedAt = -Infinity;

  constructor(private readonly options: Options) {}

  get(): LoadDigest {
    const now = this.options.clock.now();
    const keptMs = now - this.computedAt;
    if (this.cachedSum && keptMs < CACHE_TTL_MS)
      return advanceRolloutAges(this.cachedSum, keptMs);
    this.computedAt = now;
    this.cachedSum = mergeLoadDigests(this.options.listDigests());
    return this.cachedSum;
  }
}
