import type {Clock} from '@bayspool/kernel';
import {BucketedCounter} from './bucketed_counter.js';

/** Parts of the window that are forgotten one by one. */
const BUCKETS = 20;

interface Options {
  readonly clock: Clock;
  readonly windowMs: number;
}

/** Counts events over a sliding window. */
export class SlidingWindowCounter {
  private readonly buckets: BucketedCounter;

  constructor({clock, windowMs}: Options) {
    const sliceMs = windowMs / BUCKETS;
    this.buckets = new BucketedCounter({
      clock,
      bucketMs: sliceMs,
      bucketCount: BUCKETS,
    });
  }

  /** Counts something that happened now. */
  increment(): void {
    this.buckets.increment();
  }

  /** What was counted within the window. */
  get total(): number {
    return this.buckets.latestFirst().reduce((sum, count) => sum + count, 0);
  }
}
