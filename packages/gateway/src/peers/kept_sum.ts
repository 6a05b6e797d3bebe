import type {Clock} from '@bayspool/kernel';
import type {LoadDigest} from './load_digest.js';
import {countOn} from './count_on.js';
import {mergeLoads} from './merge_loads.js';

interface Options {
  readonly clock: Clock;
  readonly parts: () => readonly LoadDigest[];
}

/** How long a sum is used again: many hosts ask in one round of the exchange, in ms. */
const KEPT_MS = 100;

/** A sum of digests that is made anew at most every so often. */
export class KeptSum {
  private digest: LoadDigest | undefined;
  private madeAt = -Infinity;

  constructor(private readonly options: Options) {}

  get(): LoadDigest {
    const now = this.options.clock.now();
    const keptMs = now - this.madeAt;
    if (this.digest && keptMs < KEPT_MS) return countOn(this.digest, keptMs);
    this.madeAt = now;
    this.digest = mergeLoads(this.options.parts());
    return this.digest;
  }
}
