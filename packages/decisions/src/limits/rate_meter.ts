import type {Clock} from '@bayspool/kernel';

const SECOND_MS = 1_000;

interface Options {
  readonly clock: Clock;
  /** Time constant of the average, in ms. */
  readonly windowMs: number;
}

/** An exponentially weighted average of events, or of another amount, per second. */
export class RateMeter {
  private rate = 0;
  private lastAt: number;

  constructor(private readonly options: Options) {
    this.lastAt = options.clock.now();
  }

  mark(amount = 1): void {
    this.decay();
    this.rate += (amount * SECOND_MS) / this.options.windowMs;
  }

  perSecond(): number {
    this.decay();
    return this.rate;
  }

  private decay(): void {
    const now = this.options.clock.now();
    this.rate *= Math.exp(-(now - this.lastAt) / this.options.windowMs);
    this.lastAt = now;
  }
}
