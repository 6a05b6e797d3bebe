import type {Clock} from '@bayspool/kernel';
import {SliceCounts} from './slice_counts.js';

/** Parts of the window that are forgotten one by one. */
const SLICES = 20;

interface Options {
  readonly clock: Clock;
  readonly windowMs: number;
}

/** Counts events over a sliding window. */
export class SlidingCount {
  private readonly counts: SliceCounts;

  constructor({clock, windowMs}: Options) {
    const sliceMs = windowMs / SLICES;
    this.counts = new SliceCounts({clock, sliceMs, slices: SLICES});
  }

  /** Counts something that happened now. */
  add(): void {
    this.counts.add();
  }

  /** What was counted within the window. */
  get total(): number {
    return this.counts.latestFirst().reduce((sum, count) => sum + count, 0);
  }
}
