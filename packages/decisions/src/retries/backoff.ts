import type {RandomSource} from '@bayspool/kernel';

interface Options {
  readonly random: RandomSource;
  /** The first delay's upper bound, in ms. */
  readonly initialMs: number;
  /** No delay is longer, in ms. */
  readonly maxMs: number;
}

/** Exponential back-off with full jitter. */
export class Backoff {
  private attempt = 0;

  constructor(private readonly options: Options) {}

  /** The next delay in ms. */
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
