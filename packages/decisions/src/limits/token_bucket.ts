import type {Clock} from '@bayspool/kernel';

interface Options {
  readonly clock: Clock;
  readonly perSecond: number;
  readonly burst: number;
}

const SECOND_MS = 1_000;

/** A token bucket: limits a rate and allows bursts. */
export class TokenBucket {
  private perSecond: number;
  private burst: number;
  private tokens: number;
  private refilledAt: number;

  constructor(private readonly options: Options) {
    this.perSecond = options.perSecond;
    this.burst = options.burst;
    this.tokens = options.burst;
    this.refilledAt = options.clock.now();
  }

  /** Changes the rate and the burst; saved tokens are kept up to the new burst. */
  resize(perSecond: number, burst: number): void {
    this.refill();
    this.perSecond = perSecond;
    this.burst = burst;
    this.tokens = Math.min(this.tokens, burst);
  }

  /** Takes a token and returns 0, or returns the time in ms until one is available. */
  take(): number {
    this.refill();
    if (this.tokens >= 1) {
      this.tokens--;
      return 0;
    }
    return this.perSecond > 0
      ? ((1 - this.tokens) / this.perSecond) * SECOND_MS
      : SECOND_MS;
  }

  private refill(): void {
    const now = this.options.clock.now();
    this.tokens = Math.min(
      this.burst,
      this.tokens + ((now - this.refilledAt) / SECOND_MS) * this.perSecond,
    );
    this.refilledAt = now;
  }
}
