import type {Clock} from '@bayspool/kernel';

interface Options {
  readonly clock: Clock;
  /** Length of a bucket, in ms. */
  readonly bucketMs: number;
  /** Number of buckets, including the current one. */
  readonly bucketCount: number;
}

/** Counts events in buckets of time. */
export class BucketedCounter {
  /** Counts of the buckets, the current one first. */
  private readonly counts: number[];
  private lastBucket: number;

  constructor(private readonly options: Options) {
    this.counts = new Array<number>(options.bucketCount).fill(0);
    this.lastBucket = this.currentBucket;
  }

  /** Counts an event that happens now. */
  increment(): void {
    this.expireBuckets();
    this.counts[0] += 1;
  }

  /** Counts of the buckets, the current one first; valid until time advances. */
  latestFirst(): readonly number[] {
    this.expireBuckets();
    return this.counts;
  }

  private get currentBucket(): number {
    return Math.floor(this.options.clock.now() / this.options.bucketMs);
  }

  private expireBuckets(): void {
    const current = this.currentBucket;
    const elapsedBuckets = current - this.lastBucket;
    if (elapsedBuckets === 0) return;
    this.counts.copyWithin(elapsedBuckets, 0);
    this.counts.fill(0, 0, elapsedBuckets);
    this.lastBucket = current;
  }
}
