import type {Clock} from '@bayspool/kernel';
import {TokenBucket} from '../limits/token_bucket.js';

interface Options {
  readonly clock: Clock;
}

/** Part of this host's rate that calls of each priority and size get at least. */
const CLASS_SHARE = 0.05;
/** Upper bound of these parts together. */
const TOTAL_SHARE = 0.2;
const MS_PER_SECOND = 1_000;

/** The small part of the rate that each class of calls gets whatever goes before it, so that none is starved. */
export class GuaranteedShare {
  private readonly buckets = new Map<string, TokenBucket>();
  private classPerMs = 0;

  constructor(private readonly options: Options) {}

  /** Divides a rate anew among the classes for which there is demand. */
  resize(ratePerMs: number, classes: ReadonlyMap<string, number>): void {
    const share = Math.min(
      CLASS_SHARE,
      TOTAL_SHARE / Math.max(1, classes.size),
    );
    this.classPerMs = ratePerMs * share;
    for (const [name, bucket] of this.buckets) {
      if (classes.has(name))
        bucket.resize(this.classPerMs * MS_PER_SECOND, bucket.burst);
      else this.buckets.delete(name);
    }
  }

  /** Time until a class may send a call regardless of its order, in ms. */
  computeWaitMs(name: string, costMs: number): number {
    return this.bucketOf(name, costMs).computeWaitMs(costMs);
  }

  /** The same for a call behind `aheadMs` of work of its class. */
  computeTotalWaitMs(name: string, costMs: number, aheadMs: number): number {
    const waitMs = this.computeWaitMs(name, costMs);
    if (aheadMs === 0) return waitMs;
    return this.classPerMs > 0 ? waitMs + aheadMs / this.classPerMs : Infinity;
  }

  /** Counts a call that was sent in its class's own part. */
  spend(name: string, costMs: number): void {
    this.bucketOf(name, costMs).spend(costMs, costMs);
  }

  private bucketOf(name: string, costMs: number): TokenBucket {
    const perSecond = this.classPerMs * MS_PER_SECOND;
    let bucket = this.buckets.get(name);
    if (!bucket) {
      const {clock} = this.options;
      bucket = new TokenBucket({clock, perSecond, burst: costMs});
      this.buckets.set(name, bucket);
    }
    if (bucket.burst < costMs) bucket.resize(perSecond, costMs);
    return bucket;
  }
}
