import type {Clock} from '@bayspool/kernel';
import {BucketedCounter} from './bucketed_counter.js';

/** Number of buckets in the window; they expire one by one. */
const BUCKETS = 20;

interface Options {
  readonly clock: Clock;
  readonly windowMs: number;
}

/** Counts events over a sliding window. */
export class SlidingWindowCounter {
  private readonly buckets: BucketedCounter;

  constructor({clock, windowMs}: Options) {
    const bucketMs = windowMs / BUCKETS;
    this.buckets = new BucketedCounter({
      clock,
      bucketMs,
      bucketCount: BUCKETS,
    });
  }

  /** Counts an event that happens now. */
  increment(): void {
    this.buckets.increment();
  }

  /** Number of events within the window. */
  get total(): number {
    return this.buckets.latestFirst().reduce((sum, count) => sum + count, 0);
  }
}
