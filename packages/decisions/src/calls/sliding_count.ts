import type {Clock} from '@bayspool/kernel';

/** Parts of the window that are forgotten one by one. */
const SLICES = 20;

interface Options {
  readonly clock: Clock;
  readonly windowMs: number;
}

/** Counts events over a sliding window. */
export class SlidingCount {
  private readonly counts: number[] = new Array<number>(SLICES).fill(0);
  private readonly sliceMs: number;
  private slice = 0;

  constructor(private readonly options: Options) {
    this.sliceMs = options.windowMs / SLICES;
  }

  /** Counts something that happened now. */
  add(amount = 1): void {
    this.forget();
    this.counts[this.slice % SLICES] += amount;
  }

  /** What was counted within the window. */
  get total(): number {
    this.forget();
    return this.counts.reduce((sum, count) => sum + count, 0);
  }

  private forget(): void {
    const current = Math.floor(this.options.clock.now() / this.sliceMs);
    const passed = Math.min(current - this.slice, SLICES);
    for (let i = 1; i <= passed; i++)
      this.counts[(current - passed + i) % SLICES] = 0;
    this.slice = current;
  }
}
