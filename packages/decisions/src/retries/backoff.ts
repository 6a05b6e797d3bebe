import type {RandomSource} from '@bayspool/kernel';

interface Options {
  readonly random: RandomSource;
  /** Upper bound of the first delay, in ms. */
  readonly initialMs: number;
  /** Upper bound of all delays, in ms. */
  readonly maxMs: number;
}

/** Exponential backoff with full jitter. */
export class Backoff {
  private attempt = 0;

  constructor(private readonly options: Options) {}

  /** Returns the next delay in ms. */
  nextDelayMs(): number {
    const bound = Math.min(
      this.options.maxMs,
      this.options.initialMs * 2 ** this.attempt,
    );
    this.attempt++;
    return bound * this.options.random.next();
  }

  reset(): void {
    this.attempt = 0;
  }
}
