import type {Clock} from '@bayspool/kernel';

interface Options {
  readonly clock: Clock;
  /** Time constant of the average departure rate, in ms. */
  readonly windowMs: number;
}

/** Estimates the wait in a queue from the rate at which requests leave it. */
export class QueueWaitEstimator {
  private rate = 0;
  private lastAt: number;

  constructor(private readonly options: Options) {
    this.lastAt = options.clock.now();
  }

  recordDeparture(): void {
    this.decay();
    this.rate += 1 / this.options.windowMs;
  }

  /** Returns the expected wait in ms behind `ahead` requests; 0 while no departure rate is known. */
  estimateWaitMs(ahead: number): number {
    this.decay();
    if (ahead === 0 || this.rate <= 0) return 0;
    return ahead / this.rate;
  }

  private decay(): void {
    const now = this.options.clock.now();
    this.rate *= Math.exp(-(now - this.lastAt) / this.options.windowMs);
    this.lastAt = now;
  }
}
