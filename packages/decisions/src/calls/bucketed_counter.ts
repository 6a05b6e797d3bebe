import type {Clock} from '@bayspool/kernel';

interface Options {
  readonly clock: Clock;
  /** Length of a slice, in ms. */
  readonly bucketMs: number;
  /** Slices that are remembered, the current one included. */
  readonly bucketCount: number;
}

/** Counts events by slices of time. */
export class BucketedCounter {
  /** The current slice first. */
  private readonly counts: number[];
  private lastBucket: number;

  constructor(private readonly options: Options) {
    this.counts = new Array<number>(options.bucketCount).fill(0);
    this.lastBucket = this.currentBucket;
  }

  /** Counts something that happened now. */
  increment(): void {
    this.expireBuckets();
    this.counts[0] += 1;
  }

  /** What was counted in each slice, the current one first; valid until time goes on. */
  latestFirst(): readonly number[] {
    this.expireBuckets();
    return this.counts;
  }

  private get currentBucket(): number {
    return Math.floor(this.options.clock.now() / this.options.bucketMs);
  }

  private expireBuckets(): void {
    const current = this.currentBucket;
    const passed = current - this.lastBucket;
    if (passed === 0) return;
    this.counts.copyWithin(passed, 0);
    this.counts.fill(0, 0, passed);
    this.lastBucket = current;
  }
}
