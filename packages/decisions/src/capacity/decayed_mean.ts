import type {Clock} from '@bayspool/kernel';

interface Options {
  readonly clock: Clock;
  /** Time after which a sample has half its weight, in ms. */
  readonly halfLifeMs: number;
}

/** Weighted sum of samples whose weight halves within a fixed time. */
export class DecayedMean {
  private currentWeight = 0;
  private currentSum = 0;
  private decayedAt: number;

  constructor(private readonly options: Options) {
    this.decayedAt = options.clock.now();
  }

  /** Sum of the weights. */
  get weight(): number {
    this.decay();
    return this.currentWeight;
  }

  /** Weighted sum of the samples. */
  get sum(): number {
    this.decay();
    return this.currentSum;
  }

  add(sample: number, weight: number): void {
    this.decay();
    this.currentWeight += weight;
    this.currentSum += weight * sample;
  }

  /** Replaces all samples. */
  reset(weight: number, sum: number): void {
    this.currentWeight = weight;
    this.currentSum = sum;
    this.decayedAt = this.options.clock.now();
  }

  private decay(): void {
    const now = this.options.clock.now();
    if (now === this.decayedAt) return;
    if (this.currentWeight > 0) {
      const factor = 0.5 ** ((now - this.decayedAt) / this.options.halfLifeMs);
      this.currentWeight *= factor;
      this.currentSum *= factor;
    }
    this.decayedAt = now;
  }
}
