import type {Clock} from '@bayspool/kernel';

interface Options {
  readonly clock: Clock;
  /** Over which time departures are averaged, in ms. */
  readonly windowMs: number;
}

/** Predicts the wait in the queue from the rate at which items leave it. */
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

  /** The expected wait in ms behind `ahead` items; 0 while nothing is known. */
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
